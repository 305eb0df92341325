//! Clients of everything outside the process.

use crate::auth::PeerSigner;
use crate::edge::ConfigClient;
use crate::edge::DeskClient;
use crate::edge::EngineClient;
use crate::edge::HttpClient;
use crate::edge::ListingClient;
use crate::edge::PeerClient;
use crate::settings::Settings;

/// Clients of everything outside the process.
#[derive(Clone, Debug)]
pub struct Clients {
    /// Configuration service.
    pub config: ConfigClient,
    /// The platform's list of instances.
    pub listing: ListingClient,
    /// Engines.
    pub engine: EngineClient,
    /// Desks.
    pub desk: DeskClient,
    /// Other instances.
    pub peer: PeerClient,
}

impl Clients {
    /// Clients with one pool of connections.
    pub fn new(settings: &Settings) -> Self {
        let http = HttpClient::new();
        let signer = PeerSigner::new(settings.keys.peers.clone(), settings.instance.clone());
        Self {
            config: ConfigClient::new(http.clone(), settings.platform.configuration),
            listing: ListingClient::new(http.clone(), settings.platform.instances),
            engine: EngineClient::new(http.clone()),
            desk: DeskClient,
            peer: PeerClient::new(http, signer),
        }
    }
}

//! Clients of the platform's services, the backend servers and the peers.

use crate::auth::PeerSigner;
use crate::edge::ConfigClient;
use crate::edge::DeskClient;
use crate::edge::EngineClient;
use crate::edge::HttpClient;
use crate::edge::ListingClient;
use crate::edge::PeerClient;
use crate::settings::Settings;

/// One client for each kind of server that an instance calls.
#[derive(Clone, Debug)]
pub struct Clients {
    /// Client of the configuration service.
    pub config: ConfigClient,
    /// Client of the platform's instance list.
    pub listing: ListingClient,
    /// Client of all engines.
    pub engine: EngineClient,
    /// Client of all desks.
    pub desk: DeskClient,
    /// Client of the other instances; signs its messages.
    pub peer: PeerClient,
}

impl Clients {
    /// Clients for these settings; all but the desks' share one connection pool.
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

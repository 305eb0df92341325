//! Actions that [`super::FleetView`] asks its caller to carry out.

use std::net::SocketAddr;

use crate::decide::config::ConfigAction;
use crate::names::InstanceName;
use crate::wire::gossip::Gossip;
use crate::wire::gossip::LeavingBackend;
use crate::wire::gossip::TopicNews;

/// An action for the caller of [`super::FleetView`].
#[derive(Clone, Debug)]
pub enum FleetAction {
    /// Send a message to a peer; report its reply or failure to `on_gossip_reply`.
    Gossip {
        /// Recipient.
        to: InstanceName,
        /// Peer address of the recipient.
        addr: SocketAddr,
        /// Call number, to be passed back with the reply.
        call: u64,
        /// Message body.
        message: Gossip,
    },
    /// An action on the configuration.
    Config(ConfigAction),
    /// Read the platform's list; report it to `on_listing`.
    ReadListing,
    /// A backend server is leaving and gets no new work.
    LeavingBackend(LeavingBackend),
    /// An update of another module arrived by gossip.
    Topic(TopicNews),
    /// The process was paused; its state may be outdated.
    PauseDetected,
    /// Another process has taken over this instance's name; this one must stop.
    Superseded,
}

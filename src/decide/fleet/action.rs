//! What the fleet's decisions ask for.

use std::net::SocketAddr;

use crate::decide::config::ConfigAction;
use crate::names::InstanceName;
use crate::wire::gossip::Gossip;
use crate::wire::gossip::LeavingBackend;
use crate::wire::gossip::TopicNews;

/// Something to be done outside the decisions.
#[derive(Clone, Debug)]
pub enum FleetAction {
    /// Send a message to a peer.
    Gossip {
        /// Receiver.
        to: InstanceName,
        /// Address of the receiver.
        addr: SocketAddr,
        /// Number of the call.
        call: u64,
        /// The message.
        message: Gossip,
    },
    /// Read or apply a configuration.
    Config(ConfigAction),
    /// Read the platform's list.
    ReadListing,
    /// A backend server leaves: no new work for it.
    LeavingBackend(LeavingBackend),
    /// News of another module.
    Topic(TopicNews),
    /// This process was paused; what it knew may be outdated.
    PauseDetected,
    /// Another process runs under this instance's name; this one must stop.
    Superseded,
}

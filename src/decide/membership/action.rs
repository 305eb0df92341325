//! What the membership's decisions ask for.

use std::net::SocketAddr;

use crate::names::InstanceName;
use crate::wire::gossip::ConfigId;
use crate::wire::gossip::Gossip;
use crate::wire::gossip::LeavingBackend;
use crate::wire::gossip::TopicNews;

/// Something to be done outside the membership's decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a message; its answer, or its failure, is given back with `call`.
    Send {
        /// Receiver.
        to: InstanceName,
        /// Address of the receiver.
        addr: SocketAddr,
        /// Number of the call.
        call: u64,
        /// The message.
        message: Gossip,
    },
    /// A peer said which configuration is in effect there.
    PeerConfig {
        /// The peer.
        peer: InstanceName,
        /// Its configuration, if any.
        config: Option<ConfigId>,
    },
    /// A peer is believed to be gone.
    PeerGone {
        /// The peer.
        peer: InstanceName,
    },
    /// A backend server leaves.
    LeavingBackend(LeavingBackend),
    /// News of another module.
    Topic(TopicNews),
    /// This process was paused; what it knew may be outdated.
    PauseDetected,
    /// Another process runs under this instance's name; this one must stop.
    Superseded,
}

//! Actions that the membership protocol asks its caller to carry out.

use std::net::SocketAddr;

use crate::names::InstanceName;
use crate::wire::gossip::ConfigId;
use crate::wire::gossip::Gossip;
use crate::wire::gossip::LeavingBackend;
use crate::wire::gossip::TopicNews;

/// An action for the caller of [`super::Membership`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a message; report its reply or failure to [`super::Membership::on_reply`].
    Send {
        /// Recipient.
        to: InstanceName,
        /// Peer address of the recipient.
        addr: SocketAddr,
        /// Call number, to be passed back with the reply.
        call: u64,
        /// Message body.
        message: Gossip,
    },
    /// A peer reported the configuration in effect there.
    PeerConfig {
        /// Reporting instance.
        peer: InstanceName,
        /// Its configuration; `None` before it has applied one.
        config: Option<ConfigId>,
    },
    /// A peer was declared dead.
    PeerGone {
        /// The dead instance.
        peer: InstanceName,
    },
    /// A peer's gossip says, for the first time, that a backend server is leaving.
    LeavingBackend(LeavingBackend),
    /// An update of another module arrived by gossip.
    Topic(TopicNews),
    /// The process was paused for at least [`super::PAUSE_LIMIT`]; its state may be outdated.
    PauseDetected,
    /// Another process has taken over this instance's name; this one must stop.
    Superseded,
}

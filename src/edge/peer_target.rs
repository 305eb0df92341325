//! Destination of a call to a peer.

use std::net::SocketAddr;

use crate::decide::membership::Member;
use crate::names::InstanceName;

/// Entry instance to call; signatures include its name, so that no other instance accepts the
/// message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address of its listener for peers.
    pub addr: SocketAddr,
}

impl From<&Member> for PeerTarget {
    fn from(member: &Member) -> Self {
        Self { name: member.name.clone(), addr: member.peer_addr }
    }
}

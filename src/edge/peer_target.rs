//! Where a message to a peer goes.

use std::net::SocketAddr;

use crate::decide::membership::Member;
use crate::names::InstanceName;

/// An entry instance to call; signatures name it, so that no other takes the message.
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

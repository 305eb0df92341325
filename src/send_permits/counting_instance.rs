//! Which instance counts what all instances use together.

use std::net::SocketAddr;

use crate::names::InstanceName;

/// The instance that counts the sends to a replica, or the use of a group of accounts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CountingInstance {
    /// This one.
    Own,
    /// Another one, at this address.
    Peer(InstanceName, SocketAddr),
    /// None that is known.
    Unknown,
}

impl CountingInstance {
    /// Its name, `me` if it is this one; empty if none is known.
    pub fn name<'a>(&'a self, me: &'a InstanceName) -> &'a str {
        match self {
            Self::Own => me.as_str(),
            Self::Peer(name, _) => name.as_str(),
            Self::Unknown => "",
        }
    }
}

//! Addresses that an entry instance listens on.

use std::net::SocketAddr;

use super::section::Section;

/// Addresses that an entry instance listens on; port 0 lets the system choose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub caller: SocketAddr,
    /// For other entry instances.
    pub peer: SocketAddr,
    /// Address that other instances reach `peer` at, if it differs.
    pub peer_advertised: Option<SocketAddr>,
    /// For operators, if at all.
    pub operator: Option<SocketAddr>,
}

impl Listen {
    /// Address that other instances reach this one at.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_advertised.unwrap_or(self.peer)
    }

    pub(super) fn read(mut section: Section<'_>) -> Option<Self> {
        let caller = section.required_addr("caller");
        let peer = section.required_addr("peer");
        let peer_advertised = section.optional_addr("peer_advertised");
        let operator = section.optional_addr("operator");
        if peer.is_some_and(|addr| addr.ip().is_unspecified()) && peer_advertised.is_none() {
            section.fault("peer_advertised", "required, because peer listens on every address");
        }
        if peer_advertised.is_some_and(|addr| addr.ip().is_unspecified() || addr.port() == 0) {
            section.fault("peer_advertised", "not an address that others can reach");
        }
        if clash(caller, peer) {
            section.fault("peer", "same address as caller");
        }
        if clash(operator, caller) || clash(operator, peer) {
            section.fault("operator", "same address as another listener");
        }
        section.finish();
        Some(Self { caller: caller?, peer: peer?, peer_advertised, operator })
    }
}

fn clash(one: Option<SocketAddr>, other: Option<SocketAddr>) -> bool {
    one.is_some_and(|addr| addr.port() != 0) && one == other
}

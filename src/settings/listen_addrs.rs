//! Listener addresses of an entry instance.

use std::net::SocketAddr;

use super::section::Section;

/// Listener addresses (`listen`); port 0 lets the operating system choose one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenAddrs {
    /// Listener for callers.
    pub caller: SocketAddr,
    /// Listener for other entry instances.
    pub peer: SocketAddr,
    /// Address under which other instances reach `peer`; `None` if it is the same.
    pub peer_advertised: Option<SocketAddr>,
    /// Listener for operators; `None` opens none.
    pub operator: Option<SocketAddr>,
}

impl ListenAddrs {
    /// Address under which other instances reach this one.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_advertised.unwrap_or(self.peer)
    }

    pub(super) fn read(mut section: Section<'_>) -> Option<Self> {
        let caller = section.required_addr("caller");
        let peer = section.required_addr("peer");
        let peer_advertised = section.addr_if_set("peer_advertised");
        let operator = section.addr_if_set("operator");
        if peer.is_some_and(|addr| addr.ip().is_unspecified()) && peer_advertised.is_none() {
            section.fault("peer_advertised", "required, because peer listens on every address");
        }
        if peer_advertised.is_some_and(|addr| addr.ip().is_unspecified() || addr.port() == 0) {
            section.fault("peer_advertised", "not an address that others can reach");
        }
        if is_same_address(caller, peer) {
            section.fault("peer", "same address as caller");
        }
        if is_same_address(operator, caller) || is_same_address(operator, peer) {
            section.fault("operator", "same address as another listener");
        }
        section.report_unknown_keys();
        Some(Self { caller: caller?, peer: peer?, peer_advertised, operator })
    }
}

fn is_same_address(one: Option<SocketAddr>, other: Option<SocketAddr>) -> bool {
    one.is_some_and(|addr| addr.port() != 0) && one == other
}

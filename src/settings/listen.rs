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
    /// For operators, if at all.
    pub operator: Option<SocketAddr>,
}

impl Listen {
    pub(super) fn read(mut section: Section<'_>) -> Option<Self> {
        let caller = section.required_addr("caller");
        let peer = section.required_addr("peer");
        let operator = section.optional_addr("operator");
        if clash(caller, peer) {
            section.fault("peer", "same address as caller");
        }
        if clash(operator, caller) || clash(operator, peer) {
            section.fault("operator", "same address as another listener");
        }
        section.finish();
        Some(Self { caller: caller?, peer: peer?, operator })
    }
}

fn clash(one: Option<SocketAddr>, other: Option<SocketAddr>) -> bool {
    one.is_some_and(|addr| addr.port() != 0) && one == other
}

//! An instance that may have a value.

use std::net::SocketAddr;

use crate::names::Timestamp;

/// An instance that may have a value, as the receiver knows it.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// Address on which it listens for peers.
    pub addr: SocketAddr,
    /// When it may be asked.
    pub not_before: Timestamp,
    /// Asks in a row without a piece because it was busy.
    pub turned_away: u32,
    /// Asks in a row that failed.
    pub failures: u32,
}

impl Source {
    /// An instance that hasn't been asked yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, not_before: Timestamp::ZERO, turned_away: 0, failures: 0 }
    }
}

//! What the receiver of a value does next.

use std::net::SocketAddr;
use std::time::Duration;

/// What the receiver of a value does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Asks this instance for the next piece.
    Ask {
        /// Address on which it listens for peers.
        from: SocketAddr,
        /// Whether no other known instance could serve this one for a while.
        is_urgent: bool,
    },
    /// Waits, for this time unless another instance turns out to have the value.
    Wait(Duration),
    /// Everything has arrived.
    Complete,
    /// Gives up: nothing has arrived for long, or the value was overtaken.
    GiveUp {
        /// An instance that has a newer value than the receiver, but not this one.
        next: Option<SocketAddr>,
    },
}

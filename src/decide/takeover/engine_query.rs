//! What an owner asks its engine besides orders and dispatches.

use crate::names::FencingNumber;

/// A call whose reply goes back to the [`super::TakeoverState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineQuery {
    /// Ask the engine itself for a report of what it runs.
    Running {
        /// Number of the call, to be given back with its reply.
        call: u64,
    },
    /// Raise the engine's highest fencing number.
    Fence {
        /// Number of the call, to be given back with its reply.
        call: u64,
        /// The new number.
        number: FencingNumber,
    },
}

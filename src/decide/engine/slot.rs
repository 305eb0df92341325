//! State of one adapter slot of an engine.

use crate::names::Timestamp;

/// State of a slot that isn't free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// The engine is loading the adapter.
    Loading,
    /// The adapter is loaded.
    Ready {
        /// When it became ready, or when a request on it last began or ended.
        last_used: Timestamp,
    },
    /// The engine is unloading the adapter.
    Unloading,
}

//! Whom an instance waits for that isn't ready.

use serde::Serialize;

/// Who or what can end a lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitsFor {
    /// The store of the published state.
    Store,
    /// Other instances.
    Peers,
    /// Whoever holds an address that this instance listens on.
    Address,
    /// Descriptors of the process.
    Descriptors,
}

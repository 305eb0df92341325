//! How urgent a load is.

use serde::Deserialize;
use serde::Serialize;

/// Urgency of a load; the greater one goes first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Urgency {
    /// Whether a request waits for the load; a prefetch has none.
    pub demanded: bool,
    /// Highest priority of the waiting requests.
    pub priority: u8,
    /// How many requests wait.
    pub waiting: u32,
}

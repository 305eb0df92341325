//! Urgency of a load, by which the permit issuer orders requests.

use serde::Deserialize;
use serde::Serialize;

/// Urgency of a load; the greater one goes first, compared field by field in this order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Urgency {
    /// Whether a caller's request waits for the load; false for a prefetch.
    pub demanded: bool,
    /// Highest priority among the waiting requests.
    pub priority: u8,
    /// Number of waiting requests.
    pub waiting: u32,
}

//! A time in which reads fail.

use serde::Serialize;

/// For how long reads have failed, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReadFailure {
    /// Time since the first of these failures, in ms.
    pub failing_ms: u64,
    /// Number of failures since then.
    pub failures: u64,
    /// The last cause.
    pub cause: String,
    /// Time since that cause came first, in ms.
    pub cause_ms: u64,
    /// How often it came since then.
    pub cause_count: u64,
}

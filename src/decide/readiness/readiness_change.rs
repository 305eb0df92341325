//! A change of an instance's readiness.

use std::time::Duration;

use super::Missing;

/// A change of what is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadinessChange {
    /// What is missing now; nothing if the instance is ready.
    pub missing: Vec<Missing>,
    /// What was missing before; `None` at the first check.
    pub before: Option<Vec<Missing>>,
    /// Time since the change before, or since the process started.
    pub lasted: Duration,
}

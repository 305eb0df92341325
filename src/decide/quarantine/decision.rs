//! What quarantine allows for a request.

use std::time::Duration;

/// What quarantine allows for a request, by its strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// It may run like any other.
    Run,
    /// It may run only while no other request runs on the engine.
    Alone,
    /// It may not run.
    Refuse {
        /// Time until its strikes expire.
        retry_after: Duration,
    },
}

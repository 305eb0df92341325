//! What may be done with a request.

use std::time::Duration;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// It may run like any other.
    Run,
    /// It may run with no other request on the engine.
    Alone,
    /// It may not run.
    Refuse {
        /// Time until its strikes expire.
        retry_after: Duration,
    },
}

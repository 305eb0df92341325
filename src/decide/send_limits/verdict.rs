//! Answer to an ask for a permit.

use std::time::Duration;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent now.
    Granted,
    /// It may not; asking is useless before this time has passed.
    Denied(Duration),
}

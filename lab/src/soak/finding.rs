//! What a soak finds wrong.

use std::fmt;
use std::time::Duration;

use super::Rule;

/// One thing that must not happen, with the time at which it was seen.
#[derive(Clone, Debug)]
pub struct Finding {
    /// From the start of the soak.
    pub at: Duration,
    /// Which rule was broken.
    pub kind: FindingKind,
    /// What was seen, for a reader.
    pub detail: String,
}

/// Rules that the running fleet keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindingKind {
    /// A process ended that nobody asked to.
    EndedByItself,
    /// A process ended with an error when it was asked to end.
    EndedWithError,
    /// A process that was asked to end didn't in time.
    EndedLate,
    /// An instance wasn't ready in time after its last disruption.
    ReadyLate,
    /// An instance that had become ready said otherwise without a cause.
    Unready,
    /// An instance said that it was ready and refused callers' connections.
    ReadyButRefuses,
    /// A new configuration didn't come into force in time.
    ConfigLate,
    /// A process used most of a processor while there was little to do.
    Busy,
    /// A promise was broken at a caller or a backend server.
    Broken(Rule),
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} s: {:?}: {}", self.at.as_secs_f64(), self.kind, self.detail)
    }
}

//! Log lines of reads that fail.

use std::time::Duration;

use super::ReadFailure;

/// A log line that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadLine {
    /// Reads fail.
    Lost {
        /// For how long, and why.
        failure: ReadFailure,
        /// Number of earlier times of which no line was written.
        unlogged: u64,
    },
    /// Reads still fail, or for a new cause.
    Failing {
        /// For how long, and why.
        failure: ReadFailure,
    },
    /// Reads don't fail any more.
    Regained {
        /// Time for which they failed.
        lasted: Duration,
        /// Number of failures in it.
        failures: u64,
    },
}

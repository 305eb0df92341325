//! How a fencing order ended.

use crate::names::Fencing;

/// How a fencing order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceOutcome {
    /// The engine took the number.
    Taken,
    /// The engine has seen a higher number.
    TooLow {
        /// Highest number that the engine has seen.
        highest: Fencing,
    },
    /// No answer came.
    Unknown,
}

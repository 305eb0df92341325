//! The result of a fencing order.

use crate::names::FencingNumber;

/// How a fencing order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceOutcome {
    /// The engine accepted the number.
    Taken,
    /// The engine has seen a higher number.
    TooLow {
        /// Highest number that the engine has seen.
        highest: FencingNumber,
    },
    /// No reply came.
    Unknown,
}

//! What follows a failed bind.

use std::time::Duration;

/// What a process does after an address couldn't be bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterBindFailure {
    /// The address is tried again.
    TryAgain {
        /// Time until then.
        delay: Duration,
        /// Whether the address is missing for another reason than at the last try.
        is_news: bool,
    },
    /// The process ends.
    GiveUp,
}

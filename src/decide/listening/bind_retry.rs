//! What follows a failed bind.

use std::time::Duration;

/// When an address that couldn't be bound is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BindRetry {
    /// Time until then.
    pub delay: Duration,
    /// Whether the address is missing for another reason than at the last try.
    pub is_news: bool,
}

//! Whether callers' connections can be accepted.

use std::time::Duration;

use crate::names::Timestamp;

/// Time for which accepts fail before callers should go elsewhere.
const ACCEPTS_FAILING_TIME: Duration = Duration::from_secs(1);
/// Time after a failed accept within which it is tried again while connections wait.
const ACCEPTS_REPEATED_TIME: Duration = Duration::from_millis(500);

/// Whether callers' connections are accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcceptHealth {
    /// Times of the first and the last of the failures that followed each other; `None` without any.
    failing: Option<(Timestamp, Timestamp)>,
}

impl AcceptHealth {
    /// Records a failed accept.
    pub fn on_failed(&mut self, now: Timestamp) {
        let first = self.failing.filter(|(_, last)| now.since(*last) < ACCEPTS_REPEATED_TIME);
        self.failing = Some((first.map_or(now, |(first, _)| first), now));
    }

    /// Records that a connection is accepted.
    pub fn on_accepted(&mut self) {
        self.failing = None;
    }

    /// Whether accepts have failed for so long that callers should go elsewhere. Without connections that
    /// wait none fails any more, and callers may come again.
    pub fn is_failing(&self, now: Timestamp) -> bool {
        self.failing.is_some_and(|(first, last)| {
            now.since(first) >= ACCEPTS_FAILING_TIME && now.since(last) < ACCEPTS_REPEATED_TIME
        })
    }
}

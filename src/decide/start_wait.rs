//! Whether a step of a process's start that failed is tried again.
//!
//! What stands in the way of a start often goes away by itself, as a settings file that is being
//! replaced. A start that gives up at once would only be repeated by whoever started it.

use std::time::Duration;

use crate::names::Timestamp;

/// Time after a failure at which the step is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// What stands in the way of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartFailure {
    /// What the step needs isn't there yet; it may come at any time.
    NotThere,
    /// Something that may go away by itself.
    Temporary,
    /// Something that only a change from outside can remove.
    Permanent,
}

/// What follows a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// The step is tried again after this time.
    TryAgain(Duration),
    /// The start fails.
    GiveUp,
}

/// Time since the first attempt at a step for which all was there, and its limit.
#[derive(Clone, Copy, Debug)]
pub struct StartWait {
    began: Timestamp,
    limit: Duration,
}

impl StartWait {
    /// A step that is tried now and, after failures, up to `limit` from now on.
    pub fn new(now: Timestamp, limit: Duration) -> Self {
        Self { began: now, limit }
    }

    /// What follows a failure of the step.
    pub fn on_failure(&mut self, now: Timestamp, failure: StartFailure) -> AfterFailure {
        match failure {
            StartFailure::NotThere => {
                self.began = now;
                AfterFailure::TryAgain(RETRY_DELAY)
            }
            StartFailure::Temporary if now.since(self.began) < self.limit => {
                AfterFailure::TryAgain(RETRY_DELAY)
            }
            StartFailure::Temporary | StartFailure::Permanent => AfterFailure::GiveUp,
        }
    }

    /// Time since the first attempt for which all was there.
    pub fn waited(&self, now: Timestamp) -> Duration {
        now.since(self.began)
    }
}

//! Limit on how slowly an answer may come, whatever its length.

use std::time::Duration;

use crate::names::Timestamp;

/// Time within which an answer must bring [`MIN_PROGRESS_BYTES`] or end.
const PROGRESS_TIME: Duration = Duration::from_millis(1000);
/// Bytes that count as progress; a peer that sends one now and then doesn't hold a call for long.
const MIN_PROGRESS_BYTES: usize = 8 * 1024;
/// Bytes of each part of an answer that don't count: one that comes in parts of a byte goes on for as
/// long as its sender likes.
const UNCOUNTED_BYTES: usize = 64;

/// Limit on the progress of one answer.
#[derive(Clone, Copy, Debug)]
pub struct ProgressLimit {
    since: Timestamp,
    bytes: usize,
}

impl ProgressLimit {
    /// The limit of an answer whose body begins now.
    pub fn new(now: Timestamp) -> Self {
        Self { since: now, bytes: 0 }
    }

    /// Records a part of the answer that has arrived.
    pub fn on_bytes(&mut self, now: Timestamp, count: usize) {
        self.bytes += count.saturating_sub(UNCOUNTED_BYTES);
        if self.bytes >= MIN_PROGRESS_BYTES {
            *self = Self::new(now);
        }
    }

    /// Time for which more bytes are awaited.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        PROGRESS_TIME.saturating_sub(now.since(self.since))
    }
}

//! Bounds how many log lines tell of one kind of event.

use std::time::Duration;

use crate::names::Timestamp;

/// Time in which one line is written.
const INTERVAL: Duration = Duration::from_secs(1);

/// One line a second, and the number of events that none was written for.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineLimit {
    last: Option<Timestamp>,
    unlogged: u64,
}

impl LineLimit {
    /// Counts an event; returns the number of those since the last line if one is due now, `None` if
    /// it isn't.
    pub fn on_event(&mut self, now: Timestamp) -> Option<u64> {
        if self.last.is_some_and(|last| now.since(last) < INTERVAL) {
            self.unlogged += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }
}

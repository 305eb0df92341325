//! When a state that lasts is logged again.

use std::time::Duration;

use crate::names::Timestamp;

/// Times between the lines of a state that lasts; the last one repeats.
const INTERVALS: [Duration; 3] =
    [Duration::from_secs(10), Duration::from_secs(60), Duration::from_secs(600)];

/// Growing intervals between the log lines of a state that lasts.
#[derive(Clone, Copy, Debug)]
pub struct RepeatSchedule {
    due: Timestamp,
    lines: usize,
}

impl RepeatSchedule {
    /// The first line is due `first` from now.
    pub fn new(now: Timestamp, first: Duration) -> Self {
        Self { due: now + first, lines: 0 }
    }

    /// The next line is due at the first of the intervals from now, as one was just written.
    pub fn after_line(now: Timestamp) -> Self {
        Self { due: now + INTERVALS[0], lines: 1 }
    }

    /// Whether a line is due.
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.due
    }

    /// Records that the line was written.
    pub fn on_line(&mut self, now: Timestamp) {
        let interval = INTERVALS[self.lines.min(INTERVALS.len() - 1)];
        self.due = now + interval;
        self.lines += 1;
    }
}

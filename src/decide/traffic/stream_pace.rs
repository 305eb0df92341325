//! Pace at which a replica sends the events of one stream.

use std::time::Duration;

use crate::names::Timestamp;

/// Least events after the first one from which a pace follows.
const MIN_LATER_EVENTS: u32 = 3;

/// Arrivals of one stream's events.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPace {
    first_at: Option<Timestamp>,
    last_at: Timestamp,
    later_events: u32,
}

impl StreamPace {
    /// Records that `count` events have arrived together.
    pub fn on_events(&mut self, now: Timestamp, count: u32) {
        if count == 0 {
            return;
        }
        self.last_at = now;
        match self.first_at {
            Some(_) => self.later_events += count,
            None => self.first_at = Some(now),
        }
    }

    /// Mean time between events; `None` with too few of them.
    pub fn event_gap(&self) -> Option<Duration> {
        let first_at = self.first_at.filter(|_| self.later_events >= MIN_LATER_EVENTS)?;
        Some(self.last_at.since(first_at) / self.later_events)
    }
}

//! When a call that isn't answered is made once more beside the earlier ones.

use std::time::Duration;

use crate::decide::rendezvous;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// Interval between two calls. A server that was silent doesn't answer the calls from before, so a
/// caller hears of its return by the next call.
const INTERVAL: Duration = Duration::from_millis(200);
/// Longest time by which an instance lengthens the interval, so that instances which started together
/// don't all call at the same moments.
const MAX_SPREAD_MS: u64 = 50;

/// The calls with one question, of which the first answer counts.
#[derive(Clone, Copy, Debug)]
pub struct OverlappingCalls {
    interval: Duration,
    last: Option<Timestamp>,
}

impl OverlappingCalls {
    /// No call yet, by this instance.
    pub fn new(instance: &InstanceName) -> Self {
        let spread = rendezvous::score("overlapping calls", instance.as_str()) % MAX_SPREAD_MS;
        Self { interval: INTERVAL + Duration::from_millis(spread), last: None }
    }

    /// Time until the next call is due; zero if it is now.
    pub fn due_in(&self, now: Timestamp) -> Duration {
        self.last.map_or(Duration::ZERO, |last| self.interval.saturating_sub(now.since(last)))
    }

    /// Records a call.
    pub fn on_call(&mut self, now: Timestamp) {
        self.last = Some(now);
    }
}

//! What a relay does between the signal to stop and its end.

use std::time::Duration;

use crate::names::Timestamp;

/// Time for which new requests are taken, as the balancer notices late.
const TAKES_FOR: Duration = Duration::from_millis(2600);
/// Time before the limit at which the process ends anyway.
const MARGIN: Duration = Duration::from_millis(500);

/// A shutdown that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    started: Timestamp,
    limit: Duration,
}

impl Shutdown {
    /// A shutdown that begins now and is cut off after `limit`.
    pub fn new(now: Timestamp, limit: Duration) -> Self {
        Self { started: now, limit: limit.saturating_sub(MARGIN) }
    }

    /// Whether new requests are still taken; later ones could be cut off.
    pub fn takes_work(&self, now: Timestamp) -> bool {
        now.since(self.started) < TAKES_FOR.min(self.limit)
    }

    /// Whether the process ends.
    pub fn is_over(&self, now: Timestamp, in_flight: usize) -> bool {
        let elapsed = now.since(self.started);
        elapsed >= self.limit || (in_flight == 0 && !self.takes_work(now))
    }
}

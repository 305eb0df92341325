//! Token bucket for the sends of all instances to one replica.

use std::time::Duration;

use crate::names::Timestamp;

/// Least number of requests that may be sent at once after a while without any.
const MIN_BURST: f64 = 2.0;
/// Time whose requests may be sent at once after a while without any, in seconds.
const BURST_TIME_S: f64 = 0.25;
/// Longest time until the next ask.
const MAX_RETRY: Duration = Duration::from_secs(4);

/// Sends that a rate allows; it starts without any.
#[derive(Clone, Copy, Debug)]
pub struct SendRate {
    rate: f64,
    allowed: f64,
    refilled_at: Timestamp,
}

impl SendRate {
    /// A rate per second, of which nothing may be sent yet.
    pub fn new(now: Timestamp, rate: f64) -> Self {
        Self { rate, allowed: 0.0, refilled_at: now }
    }

    /// Changes the rate; what was allowed before is kept.
    pub fn set_rate(&mut self, now: Timestamp, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.allowed = self.allowed.min(self.burst());
    }

    /// Time until one more request may be sent; zero if it may now.
    pub fn wait(&mut self, now: Timestamp) -> Duration {
        self.refill(now);
        let missing = 1.0 - self.allowed;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(MAX_RETRY).min(MAX_RETRY)
    }

    /// Counts a request that is sent.
    pub fn take(&mut self) {
        self.allowed -= 1.0;
    }

    /// Forgets what was allowed, as others may have counted meanwhile.
    pub fn drain(&mut self, now: Timestamp) {
        self.refilled_at = now;
        self.allowed = self.allowed.min(0.0);
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.allowed = (self.allowed + gained).min(self.burst());
        self.refilled_at = now;
    }

    fn burst(&self) -> f64 {
        MIN_BURST.max(self.rate * BURST_TIME_S)
    }
}

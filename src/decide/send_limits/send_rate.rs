//! Rate of the sends of all instances to one replica.

use std::time::Duration;

use crate::decide::token_bucket::TokenBucket;
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
    allowed: TokenBucket,
}

impl SendRate {
    /// A rate per second, of which nothing may be sent yet.
    pub fn new(now: Timestamp, rate: f64) -> Self {
        Self { allowed: TokenBucket::new(now, rate, burst(rate)) }
    }

    /// Changes the rate; what was allowed before is kept.
    pub fn set_rate(&mut self, now: Timestamp, rate: f64) {
        self.allowed.set_limits(now, rate, burst(rate));
    }

    /// Time until one more request may be sent; zero if it may now.
    pub fn wait(&mut self, now: Timestamp) -> Duration {
        self.allowed.time_to(now, 1.0, MAX_RETRY)
    }

    /// Counts a request that is sent.
    pub fn take(&mut self) {
        self.allowed.take(1.0);
    }

    /// Forgets what was allowed, as others may have counted meanwhile.
    pub fn drain(&mut self, now: Timestamp) {
        self.allowed.drain(now);
    }
}

fn burst(rate: f64) -> f64 {
    MIN_BURST.max(rate * BURST_TIME_S)
}

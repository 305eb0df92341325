//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

/// Delay after the first failure, before jitter.
const INITIAL_DELAY: Duration = Duration::from_millis(500);
/// Longest delay, before jitter; half the time within which a change must be in effect.
const MAX_DELAY: Duration = Duration::from_secs(8);
/// Failures after which the delay stops growing.
const MAX_DOUBLINGS: u32 = 4;

/// Consecutive failures and the retry delay that follows from them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure; returns the delay before the next attempt, 50 to 100% of the nominal one.
    pub fn on_failure<R: Rng>(&mut self, rng: &mut R) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let delay = (INITIAL_DELAY * 2_u32.pow(doublings)).min(MAX_DELAY);
        delay.mul_f64(rng.random_range(0.5..1.0))
    }

    /// Resets the failure count.
    pub fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Mean delay, jitter included, once it has stopped growing.
    pub fn mean_max_delay() -> Duration {
        MAX_DELAY.mul_f64(0.75)
    }
}

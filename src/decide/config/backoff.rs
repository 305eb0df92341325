//! Growing pauses between attempts, with jitter.

use std::time::Duration;

use rand::Rng;

/// Pause after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause; half the time within which a change must be in effect.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// Failures after which the pause stops growing.
const MAX_DOUBLINGS: u32 = 4;

/// Count of failures in a row and the pause that follows from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure and draws the pause before the next attempt.
    pub fn on_failure<R: Rng>(&mut self, rng: &mut R) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
        pause.mul_f64(rng.random_range(0.5..1.0))
    }

    /// Forgets the failures.
    pub fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Mean pause once failures have lasted.
    pub fn lasting_pause() -> Duration {
        LONGEST_PAUSE.mul_f64(0.75)
    }
}

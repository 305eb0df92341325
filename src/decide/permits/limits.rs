//! Limits of a weight store.

use std::time::Duration;

/// Limits of a weight store for the whole fleet together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Loads that may begin per second.
    pub rate: f64,
    /// Largest number of loads in flight; the store serves that many at full speed.
    pub in_flight: usize,
    /// Time that a load takes at full speed.
    pub load_time: Duration,
}

impl StoreLimits {
    /// Time between the starts of two loads at the full rate.
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate)
    }
}

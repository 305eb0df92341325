//! What a weight store allows.

use std::time::Duration;

/// Limits of a weight store over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Loads that may begin in a second.
    pub rate: f64,
    /// Loads in flight at full speed.
    pub in_flight: usize,
    /// Time of a load at full speed.
    pub load_time: Duration,
}

impl StoreLimits {
    /// Time between the beginnings of two loads.
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate)
    }
}

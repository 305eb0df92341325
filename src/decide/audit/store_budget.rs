//! How fast the weight store can deliver adapters.

use std::time::Duration;

/// Rate and concurrency limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreBudget {
    /// Loads that may start in a second.
    pub loads_per_s: f64,
    /// Most loads in flight at which each still runs at full speed.
    pub full_speed_in_flight: usize,
    /// Duration of one load at full speed.
    pub load_time: Duration,
}

impl StoreBudget {
    /// Least time for `loads` loads with nothing else in flight.
    ///
    /// One bound is the rate, which spaces the starts, plus the last load; the other
    /// is the store's throughput at full concurrency. The larger one is returned.
    pub fn least_time(&self, loads: usize) -> Duration {
        if loads == 0 {
            return Duration::ZERO;
        }
        let starts = Duration::from_secs_f64((loads - 1) as f64 / self.loads_per_s);
        let rounds = loads.div_ceil(self.full_speed_in_flight.max(1));
        let transfers = self.load_time * u32::try_from(rounds).unwrap_or(u32::MAX);
        transfers.max(starts + self.load_time)
    }
}

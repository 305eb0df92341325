//! What the weight store can deliver.

use std::time::Duration;

/// Rate and concurrency of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreBudget {
    /// Loads that it allows in a second.
    pub loads_per_s: f64,
    /// Loads in flight at which each still runs at full speed.
    pub full_speed_in_flight: usize,
    /// Time of one load at full speed.
    pub load_time: Duration,
}

impl StoreBudget {
    /// Least time for a number of loads with nothing else in flight.
    ///
    /// The rate bounds their starts, and the last one takes a load time; the
    /// store's throughput at full concurrency is a second bound.
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

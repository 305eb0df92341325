//! Weight store model: starts are rate-limited, and concurrent loads beyond a bound slow down.

use std::time::Duration;

use tamaracklead::names::Timestamp;

/// Duration of a load while no more than [`FULL_SPEED_LOADS`] are in flight.
pub const LOAD_TIME: Duration = Duration::from_millis(250);
/// Number of loads in flight that the store serves at full speed.
const FULL_SPEED_LOADS: u32 = 8;

/// Model of the weight store.
#[derive(Clone, Debug)]
pub struct StoreModel {
    interval: Duration,
    next_start: Timestamp,
    in_flight: u32,
}

impl StoreModel {
    /// A store that starts `rate` loads a second.
    pub fn new(rate: f64) -> Self {
        Self {
            interval: Duration::from_secs_f64(1.0 / rate),
            next_start: Timestamp::ZERO,
            in_flight: 0,
        }
    }

    /// Sets the rate of later starts, in loads a second.
    pub fn set_rate(&mut self, rate: f64) {
        self.interval = Duration::from_secs_f64(1.0 / rate);
    }

    /// Begins a load and returns its duration, with the wait that the rate limit imposes.
    pub fn begin(&mut self, now: Timestamp) -> Duration {
        let start = self.next_start.max(now);
        self.next_start = start + self.interval;
        self.in_flight += 1;
        let waiting = start.since(now);
        let active = self.in_flight.saturating_sub(self.queued(waiting)).max(1);
        let slowdown = f64::from(active.max(FULL_SPEED_LOADS)) / f64::from(FULL_SPEED_LOADS);
        waiting + LOAD_TIME.mul_f64(slowdown)
    }

    /// Notes the end of a load.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Number of loads that still wait for their start, from the wait of the last one.
    fn queued(&self, waiting: Duration) -> u32 {
        (waiting.as_secs_f64() / self.interval.as_secs_f64()) as u32
    }
}

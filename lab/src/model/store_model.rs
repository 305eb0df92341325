//! The weight store in virtual time: a rate limit and a bounded number at full speed.

use std::time::Duration;

use tamaracklead::names::Timestamp;

/// Time of a load while no more than [`FULL_SPEED`] are in flight.
pub const LOAD_TIME: Duration = Duration::from_millis(250);
/// Loads in flight that the store serves at full speed.
const FULL_SPEED: u32 = 8;

/// State of the store.
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

    /// Changes the rate.
    pub fn set_rate(&mut self, rate: f64) {
        self.interval = Duration::from_secs_f64(1.0 / rate);
    }

    /// Takes a load; those beyond the rate wait their turn. Returns how long it takes.
    pub fn begin(&mut self, now: Timestamp) -> Duration {
        let start = self.next_start.max(now);
        self.next_start = start + self.interval;
        self.in_flight += 1;
        let waiting = start.since(now);
        let active = self.in_flight.saturating_sub(self.queued(waiting)).max(1);
        let slowdown = f64::from(active.max(FULL_SPEED)) / f64::from(FULL_SPEED);
        waiting + LOAD_TIME.mul_f64(slowdown)
    }

    /// Ends a load.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn queued(&self, waiting: Duration) -> u32 {
        (waiting.as_secs_f64() / self.interval.as_secs_f64()) as u32
    }
}

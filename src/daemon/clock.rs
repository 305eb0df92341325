//! The clock of one process.

use std::time::Instant;

use crate::names::Timestamp;

/// Monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.start.elapsed().as_micros() as u64)
    }
}

//! Monotonic clock of the process.

use std::time::Instant;

use crate::names::Timestamp;

/// Monotonic clock; its timestamps count from its start and mean nothing to other processes.
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
    /// A clock that reads zero now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Time since the start, in whole microseconds.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.start.elapsed().as_micros() as u64)
    }
}

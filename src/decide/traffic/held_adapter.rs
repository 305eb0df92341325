//! An adapter that a replica holds, with its uses of late.

use std::time::Duration;

use crate::names::Timestamp;

/// Half-life of the memory of uses.
const USE_HALF_LIFE: Duration = Duration::from_secs(8);

/// An adapter that a replica holds.
#[derive(Clone, Copy, Debug)]
pub struct HeldAdapter {
    /// Its version.
    pub version: u64,
    /// Uses of late, as they counted when it was used last.
    pub uses: f64,
    /// When it was used last.
    pub used: Timestamp,
}

impl HeldAdapter {
    /// One that arrives now.
    pub fn new(now: Timestamp, version: u64) -> Self {
        Self { version, uses: 0.0, used: now }
    }

    /// Uses of late; older ones count less.
    pub fn uses_now(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.used).as_secs_f64() / USE_HALF_LIFE.as_secs_f64();
        self.uses * (-half_lives).exp2()
    }
}

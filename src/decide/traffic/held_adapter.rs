//! An adapter that a replica holds, with a decayed count of its uses.

use std::time::Duration;

use crate::names::Timestamp;

/// Half-life of the count of uses.
const USE_HALF_LIFE: Duration = Duration::from_secs(8);

/// An adapter that a replica holds, as a candidate for eviction.
#[derive(Clone, Copy, Debug)]
pub struct HeldAdapter {
    /// Version that is held; 0 if it isn't known.
    pub version: u64,
    /// Decayed count of uses as of `last_used`.
    pub uses_at_last_use: f64,
    /// When a use was recorded last; if none was, when it was first known to be held.
    pub last_used: Timestamp,
}

impl HeldAdapter {
    /// An adapter that is held from now on, without uses so far.
    pub fn new(now: Timestamp, version: u64) -> Self {
        Self { version, uses_at_last_use: 0.0, last_used: now }
    }

    /// Count of uses, decayed exponentially with the time since the last one.
    pub fn recent_uses(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.last_used).as_secs_f64() / USE_HALF_LIFE.as_secs_f64();
        self.uses_at_last_use * (-half_lives).exp2()
    }
}

//! When one instance reads the platform's list.

use std::time::Duration;

use rand::Rng;

use crate::names::Timestamp;

/// Time between two reads by an instance that also watches the configuration service.
pub const LISTING_INTERVAL: Duration = Duration::from_secs(1);
/// Mean time between two reads by any other instance, which learns from peers between them.
pub const SLOW_LISTING_INTERVAL: Duration = Duration::from_secs(60);
/// Time after which a read without an answer counts as failed.
const READ_LIMIT: Duration = Duration::from_secs(5);

/// Schedule of the reads: at most one at a time.
#[derive(Clone, Debug)]
pub struct ListingReads {
    outstanding: Option<Timestamp>,
    last: Option<Timestamp>,
    slow_pause: Duration,
}

impl ListingReads {
    /// A schedule whose first read is due at once.
    pub fn new() -> Self {
        Self { outstanding: None, last: None, slow_pause: SLOW_LISTING_INTERVAL }
    }

    /// Whether to read now; an instance without a list reads as often as a reader.
    pub fn is_due<R: Rng>(&mut self, now: Timestamp, reader: bool, rng: &mut R) -> bool {
        if self.outstanding.is_some_and(|since| now.since(since) < READ_LIMIT) {
            return false;
        }
        let failed = self.outstanding.is_some();
        let pause = if reader || failed { LISTING_INTERVAL } else { self.slow_pause };
        if self.last.is_some_and(|last| now.since(last) < pause) {
            return false;
        }
        self.outstanding = Some(now);
        self.last = Some(now);
        self.slow_pause = SLOW_LISTING_INTERVAL.mul_f64(rng.random_range(0.8..1.2));
        true
    }

    /// Takes the end of a read.
    pub fn on_end(&mut self, succeeded: bool) {
        self.outstanding = None;
        if !succeeded {
            self.slow_pause = LISTING_INTERVAL;
        }
    }

    /// Makes a read due at once.
    pub fn restart(&mut self) {
        *self = Self::new();
    }
}

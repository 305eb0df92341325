//! Schedule of one instance's reads of the platform's list.

use std::time::Duration;

use rand::Rng;

use crate::names::Timestamp;

/// Interval between reads by a reader, which also watches the configuration service.
pub const LISTING_INTERVAL: Duration = Duration::from_secs(1);
/// Mean interval between reads by any other instance, which learns from peers in between.
pub const SLOW_LISTING_INTERVAL: Duration = Duration::from_secs(60);
/// Time without a reply after which a read counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Read schedule, with at most one read at a time.
#[derive(Clone, Debug)]
pub struct ListingReads {
    outstanding: Option<Timestamp>,
    last: Option<Timestamp>,
    slow_interval: Duration,
}

impl ListingReads {
    /// Creates a schedule whose first read is due at once.
    pub fn new() -> Self {
        Self { outstanding: None, last: None, slow_interval: SLOW_LISTING_INTERVAL }
    }

    /// Whether a read starts now; after a failed read any instance reads as often as a reader.
    pub fn start_if_due<R: Rng>(&mut self, now: Timestamp, reader: bool, rng: &mut R) -> bool {
        if self.outstanding.is_some_and(|since| now.since(since) < READ_TIMEOUT) {
            return false;
        }
        let failed = self.outstanding.is_some();
        let interval = if reader || failed { LISTING_INTERVAL } else { self.slow_interval };
        if self.last.is_some_and(|last| now.since(last) < interval) {
            return false;
        }
        self.outstanding = Some(now);
        self.last = Some(now);
        self.slow_interval = SLOW_LISTING_INTERVAL.mul_f64(rng.random_range(0.8..1.2));
        true
    }

    /// Handles the end of a read.
    pub fn on_read_ended(&mut self, succeeded: bool) {
        self.outstanding = None;
        if !succeeded {
            self.slow_interval = LISTING_INTERVAL;
        }
    }

    /// Makes a read due at once.
    pub fn restart(&mut self) {
        *self = Self::new();
    }
}

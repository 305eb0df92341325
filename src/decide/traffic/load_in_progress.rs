//! An adapter that a replica is loading.
//!
//! The replica's reports lag behind, so it is polled by repeating the load order: a repeated
//! load is answered with "done" once the adapter is loaded, and changes nothing before.

use std::time::Duration;

use crate::names::Timestamp;

/// Time that a replica needs to load an adapter of which it has a copy.
const WARM_LOAD_TIME: Duration = Duration::from_millis(30);
/// Least time that a replica needs to load an adapter from the weight store.
const MIN_COLD_LOAD_TIME: Duration = Duration::from_millis(150);
/// Least time between polls of a load.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// The time between polls grows with the age of the load, divided by this.
const POLL_INTERVAL_DIVISOR: u32 = 8;
/// Time after which a load counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// A load that a replica has accepted and not finished, as far as is known.
#[derive(Clone, Copy, Debug)]
pub struct LoadInProgress {
    /// Version that is loaded; `None` if it isn't known.
    pub version: Option<u64>,
    /// Whether the replica has a copy of the adapter, so that it doesn't need the weight store.
    pub is_warm: bool,
    started_at: Timestamp,
    last_polled: Timestamp,
}

impl LoadInProgress {
    /// A load that begins now.
    pub fn new(now: Timestamp, version: Option<u64>, is_warm: bool) -> Self {
        Self { version, is_warm, started_at: now, last_polled: now }
    }

    /// Whether a warm load has had the time that it takes, so that it counts as done although the
    /// replica hasn't said so.
    pub fn is_presumed_done(&self, now: Timestamp) -> bool {
        self.is_warm && now.since(self.started_at) >= WARM_LOAD_TIME
    }

    /// Time until a warm load counts as done; `None` if the load isn't warm.
    pub fn presumed_done_in(&self, now: Timestamp) -> Option<Duration> {
        self.is_warm.then(|| WARM_LOAD_TIME.saturating_sub(now.since(self.started_at)))
    }

    /// Whether the load counts as failed.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        now.since(self.started_at) >= LOAD_TIMEOUT
    }

    /// Whether to repeat the order now, to see whether the load is done.
    pub fn should_poll(&self, now: Timestamp) -> bool {
        let age = now.since(self.started_at);
        let poll_interval = MIN_POLL_INTERVAL.max(age / POLL_INTERVAL_DIVISOR);
        !self.is_warm && age >= MIN_COLD_LOAD_TIME && now.since(self.last_polled) >= poll_interval
    }

    /// Records that the replica answered that the load isn't done.
    pub fn on_polled(&mut self, now: Timestamp) {
        self.last_polled = now;
    }
}

//! An adapter on its way to a replica.
//!
//! Reports lag behind, so the replica is asked instead: a load that is given again is
//! answered with "done" once the adapter is there, and changes nothing before.

use std::time::Duration;

use crate::names::Timestamp;

/// Time that a replica needs for an adapter that it held before.
const WARM_LOAD: Duration = Duration::from_millis(30);
/// Least time that a replica needs for an adapter from the weight store.
const MIN_COLD_LOAD: Duration = Duration::from_millis(150);
/// Least pause before a replica is asked again whether an adapter has arrived.
const ASK_PAUSE: Duration = Duration::from_millis(30);
/// Share of the time since the load began that the pause grows to.
const ASK_PAUSE_SHARE: u32 = 8;
/// Time after which a load that no report shows is taken as failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// An adapter on its way to a replica.
#[derive(Clone, Copy, Debug)]
pub struct Coming {
    /// Its version; `None` if that isn't known.
    pub version: Option<u64>,
    /// Whether the replica has a copy of it, so that it doesn't need the weight store.
    pub is_warm: bool,
    since: Timestamp,
    asked: Timestamp,
}

impl Coming {
    /// A load that begins now.
    pub fn new(now: Timestamp, version: Option<u64>, is_warm: bool) -> Self {
        Self { version, is_warm, since: now, asked: now }
    }

    /// Whether it must have arrived, though nobody said so.
    pub fn must_have_arrived(&self, now: Timestamp) -> bool {
        self.is_warm && now.since(self.since) >= WARM_LOAD
    }

    /// Time until it must have arrived, if that is known.
    pub fn arrives_in(&self, now: Timestamp) -> Option<Duration> {
        self.is_warm.then(|| WARM_LOAD.saturating_sub(now.since(self.since)))
    }

    /// Whether its load counts as failed.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        now.since(self.since) >= LOAD_TIMEOUT
    }

    /// Whether the replica is to be asked whether it has arrived.
    pub fn asks(&self, now: Timestamp) -> bool {
        let age = now.since(self.since);
        let pause = ASK_PAUSE.max(age / ASK_PAUSE_SHARE);
        !self.is_warm && age >= MIN_COLD_LOAD && now.since(self.asked) >= pause
    }

    /// Notes that the replica said it is still on its way.
    pub fn on_asked(&mut self, now: Timestamp) {
        self.asked = now;
    }
}

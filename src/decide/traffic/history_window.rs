//! The part of the store's history that was read, and which starts of replicas may lie in it.
//!
//! The history doesn't tell what an entry was written over that is older. A replica that starts again under its
//! name writes over the entry of the start before, which may have left streams behind. The clocks of
//! replicas and instances may be off, so that the age of a start is told by its heartbeats.

use std::time::Duration;

use super::ReplicaEntry;

/// Most heartbeats of a start in the history beside those at the intervals: some say only that something
/// has changed.
const EXTRA_HEARTBEATS: u64 = 5;

/// What was read of the store's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryWindow {
    /// Revision after which all changes were read.
    oldest: u64,
    /// Most heartbeats of a start that lies in it; `None` if that isn't known.
    max_heartbeats: Option<u64>,
}

impl HistoryWindow {
    /// The changes after the revision `oldest`, in a store that keeps them for `kept_for`, of replicas
    /// with this time between two heartbeats; `None` for what isn't known.
    pub fn new(oldest: u64, kept_for: Option<Duration>, heartbeat: Option<Duration>) -> Self {
        let known = kept_for.zip(heartbeat.filter(|time| !time.is_zero()));
        let intervals = known.map(|(kept_for, time)| kept_for.div_duration_f64(time).ceil());
        let max_heartbeats = intervals.map(|count| count as u64 + EXTRA_HEARTBEATS);
        Self { oldest, max_heartbeats }
    }

    /// Whether the replica may have begun this start in the time that was read.
    pub fn may_have_begun(&self, entry: &ReplicaEntry) -> bool {
        self.max_heartbeats.is_none_or(|max| entry.heartbeats <= max)
    }

    /// Whether the store had an item of this creation before the time that was read.
    pub fn is_older(&self, created: u64) -> bool {
        created <= self.oldest
    }
}

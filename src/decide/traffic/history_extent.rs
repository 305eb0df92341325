//! Since when the store's history is known to tell every change.
//!
//! A store keeps its changes for some time, but may discard them all sooner. One that was read shows
//! neither. But a store that discards the oldest change which was read, and still keeps the newest, does
//! so by age: what was read reaches as far back as the store keeps its changes.

use std::time::Duration;

use super::Coverage;
use crate::names::Timestamp;

/// Interval between two checks of what the store still keeps.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// What was read of the store's history, and how far it is known to reach back.
#[derive(Clone, Copy, Debug)]
pub struct HistoryExtent {
    /// Revision after which all changes were read.
    pub oldest: u64,
    /// Revision up to which they were.
    pub newest: u64,
    read_at: Timestamp,
    checked_at: Timestamp,
    /// When it was found to reach back by as much as the store keeps.
    proved_at: Option<Timestamp>,
}

impl HistoryExtent {
    /// The changes after the revision `oldest` and up to `newest` were read.
    pub fn new(now: Timestamp, oldest: u64, newest: u64) -> Self {
        Self { oldest, newest, read_at: now, checked_at: now, proved_at: None }
    }

    /// When the changes were read.
    pub fn read_at(&self) -> Timestamp {
        self.read_at
    }

    /// Whether to check what the store still keeps.
    pub fn is_check_due(&self, now: Timestamp) -> bool {
        self.proved_at.is_none() && now.since(self.checked_at) >= CHECK_INTERVAL
    }

    /// Records whether the store still keeps the changes after the oldest and the newest revision.
    pub fn on_check(&mut self, now: Timestamp, keeps_oldest: bool, keeps_newest: bool) {
        self.checked_at = now;
        if !keeps_oldest && keeps_newest {
            self.proved_at.get_or_insert(now);
        }
    }

    /// Time over which every change is known to have been read or followed since, of a store that
    /// keeps its changes for `kept_for`.
    pub fn coverage(&self, now: Timestamp, kept_for: Duration) -> Coverage {
        match self.proved_at {
            Some(at) => Coverage::Last(kept_for + now.since(at)),
            None => Coverage::Unknown,
        }
    }
}

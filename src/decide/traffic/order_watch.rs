//! Watch of a replica's reports, to see that no other instance gives it orders.
//!
//! An order count that stands still shows it, unless loads are in progress: their holder may poll
//! them by orders that the replica doesn't count. While it loads a base model, which takes long when
//! many replicas do, it takes no other order, so that nobody is needed to give any.

use std::time::Duration;

use super::LoadActivity;
use crate::names::Timestamp;

/// Longest time for which loads of adapters count as polled since the order count changed, so that
/// a load that never ends doesn't leave a replica without a holder. Longer than loads take.
const MAX_LOAD_TIME: Duration = Duration::from_secs(6);

/// What one instance has seen of a replica's orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderWatch {
    /// Start time and order count that the last report showed.
    seen: Option<(u64, u64)>,
    /// Since when the reports show them.
    seen_since: Timestamp,
    /// Since when the reports show no sign of a holder; `None` if the last one does, or there is
    /// none yet.
    quiet_since: Option<Timestamp>,
}

impl OrderWatch {
    /// Applies a report: the start time and order count, and the loads in progress.
    pub fn on_report(&mut self, now: Timestamp, seen: (u64, u64), activity: LoadActivity) {
        if self.seen != Some(seen) {
            *self = Self { seen: Some(seen), seen_since: now, quiet_since: None };
        }
        let may_have_holder = match activity {
            LoadActivity::Idle => false,
            LoadActivity::Adapters => now.since(self.seen_since) < MAX_LOAD_TIME,
            LoadActivity::Model => true,
        };
        if may_have_holder {
            self.quiet_since = None;
        } else {
            self.quiet_since.get_or_insert(now);
        }
    }

    /// For how long the reports have shown no sign of a holder; `None` if the last one does, or
    /// there is none yet.
    pub fn quiet_for(&self, now: Timestamp) -> Option<Duration> {
        self.quiet_since.map(|since| now.since(since))
    }
}

//! Loans of all accounts that one instance counts.

use std::collections::HashMap;
use std::time::Duration;

use super::LoanAsk;
use super::LoanReply;
use super::QuotaGroup;
use super::quota_bucket::QuotaBucket;
use crate::decide::accounts::Quota;
use crate::names::AccountName;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// Time after the start of the process in which it doesn't know the fleet and lends nothing.
const JOIN_TIME: Duration = Duration::from_millis(1500);

/// Counts what the accounts of its groups use.
#[derive(Clone, Debug)]
pub struct QuotaCounter {
    started_at: Timestamp,
    counting_since: HashMap<QuotaGroup, Timestamp>,
    buckets: HashMap<AccountName, QuotaBucket>,
}

impl QuotaCounter {
    /// A counter of a process that starts now; it counts no group yet.
    pub fn new(now: Timestamp) -> Self {
        Self { started_at: now, counting_since: HashMap::new(), buckets: HashMap::new() }
    }

    /// Records whether this instance counts the group. Called at least once a round of gossip; it
    /// begins anew with each group that it didn't count before.
    pub fn on_counting(&mut self, now: Timestamp, group: QuotaGroup, is_counting: bool) {
        if !is_counting {
            if self.counting_since.remove(&group).is_some() {
                self.buckets.retain(|account, _| QuotaGroup::of(account) != group);
            }
        } else if now.since(self.started_at) >= JOIN_TIME {
            self.counting_since.entry(group).or_insert(now);
        }
    }

    /// Begins anew with all groups: the process was paused, and others may have counted meanwhile.
    pub fn on_pause(&mut self, now: Timestamp) {
        self.buckets.clear();
        for since in self.counting_since.values_mut() {
            *since = now;
        }
    }

    /// Lends to an instance; `None` if this instance doesn't count the account. `share` is the part
    /// of the quota that it counts ([`FleetView::counted_share`]).
    ///
    /// [`FleetView::counted_share`]: crate::decide::send_limits::FleetView::counted_share
    pub fn ask(
        &mut self,
        now: Timestamp,
        user: &InstanceName,
        quota: &Quota,
        share: f64,
        ask: &LoanAsk,
    ) -> Option<LoanReply> {
        let since = *self.counting_since.get(&QuotaGroup::of(&ask.account))?;
        let bucket = self
            .buckets
            .entry(ask.account.clone())
            .or_insert_with(|| QuotaBucket::new(now, since, quota, share));
        Some(bucket.ask(now, user, quota, share, ask))
    }

    /// Drops the buckets that are full and that nobody borrowed from lately. Called in each
    /// round of gossip.
    pub fn drop_unneeded(&mut self, now: Timestamp) {
        self.buckets.retain(|_, bucket| !bucket.is_unneeded(now));
    }

    /// Number of accounts of which something is kept.
    pub fn kept_accounts(&self) -> usize {
        self.buckets.len()
    }
}

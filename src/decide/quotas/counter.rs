//! Loans of all accounts that one instance counts.

use std::collections::HashMap;
use std::time::Duration;

use super::LoanAsk;
use super::LoanReply;
use super::QuotaGroup;
use crate::decide::accounts::Quota;
use crate::names::AccountName;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// Time after the start of the process in which it doesn't know the fleet and lends nothing.
const JOIN_TIME: Duration = Duration::from_millis(1500);
/// Time until the next ask after a refusal.
const REFUSAL_WAIT: Duration = Duration::from_millis(100);

/// Counts what the accounts of its groups use.
#[derive(Clone, Debug)]
pub struct QuotaCounter {
    started_at: Timestamp,
    counting_since: HashMap<QuotaGroup, Timestamp>,
    levels: HashMap<AccountName, (f64, Timestamp)>,
}

impl QuotaCounter {
    /// A counter of a process that starts now; it counts no group yet.
    pub fn new(now: Timestamp) -> Self {
        Self { started_at: now, counting_since: HashMap::new(), levels: HashMap::new() }
    }

    /// Records whether this instance counts the group. Called at least once a round of gossip; it
    /// begins anew with each group that it didn't count before.
    pub fn on_counting(&mut self, now: Timestamp, group: QuotaGroup, is_counting: bool) {
        if !is_counting {
            self.counting_since.remove(&group);
            self.levels.retain(|account, _| QuotaGroup::of(account) != group);
        } else if now.since(self.started_at) >= JOIN_TIME {
            self.counting_since.entry(group).or_insert(now);
        }
    }

    /// Begins anew with all groups: the process was paused, and others may have counted meanwhile.
    pub fn on_pause(&mut self, now: Timestamp) {
        self.levels.clear();
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
        _user: &InstanceName,
        quota: &Quota,
        share: f64,
        ask: &LoanAsk,
    ) -> Option<LoanReply> {
        let since = *self.counting_since.get(&QuotaGroup::of(&ask.account))?;
        let (level, at) = self.levels.entry(ask.account.clone()).or_insert((0.0, since));
        *level += now.since(*at).as_secs_f64() * quota.rate * share;
        *level = level.min(quota.burst * share);
        *at = now;
        if *level <= 0.0 {
            let wait_ms = REFUSAL_WAIT.as_millis() as u64;
            return Some(LoanReply { granted: 0, wait_ms, utilisation: 1.0 });
        }
        *level -= ask.needed as f64;
        Some(LoanReply { granted: ask.needed, wait_ms: 0, utilisation: 0.0 })
    }

    /// Drops the buckets that are full.
    pub fn drop_unneeded(&mut self, _now: Timestamp) {}

    /// Number of accounts of which something is kept.
    pub fn kept_accounts(&self) -> usize {
        self.levels.len()
    }
}

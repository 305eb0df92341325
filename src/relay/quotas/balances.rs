//! Balances of the accounts whose callers are connected to this instance, and its counter.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;
use tokio::sync::watch;

use super::asks::DueAsks;
use crate::decide::quotas::LoanReply;
use crate::decide::quotas::QuotaBalance;
use crate::decide::quotas::QuotaCounter;
use crate::decide::quotas::QuotaGroup;
use crate::decide::send_limits::FleetView;
use crate::names::AccountName;
use crate::names::Timestamp;
use crate::send_permits::CountingInstance;
use crate::send_permits::UnresponsivePeers;

/// Quotas of one instance.
#[derive(Debug)]
pub struct Quotas {
    /// Instances that aren't asked for loans for a while.
    pub unresponsive: UnresponsivePeers,
    counter: Mutex<QuotaCounter>,
    balances: Mutex<Balances>,
    due: Mutex<DueAsks>,
    fleet: Mutex<FollowedFleet>,
    has_balances: Notify,
}

/// The fleet as it was seen in the last round of gossip.
#[derive(Clone, Debug, Default)]
pub struct FollowedFleet {
    /// When that was, and the instances that this one saw; `None` before the first round.
    pub seen: Option<(Timestamp, FleetView)>,
    /// Which instance counts each group.
    pub counting: BTreeMap<QuotaGroup, CountingInstance>,
}

/// Balances by account.
#[derive(Debug, Default)]
pub struct Balances {
    accounts: HashMap<AccountName, AccountBalance>,
}

/// Balance of one account, and the requests that wait for a reply to its ask.
#[derive(Debug)]
pub struct AccountBalance {
    /// Loans of this instance.
    pub balance: QuotaBalance,
    /// Whether the last ask had no reply, so that the instance uses its own share.
    pub is_unanswered: bool,
    /// Number of replies so far.
    pub replies: watch::Sender<u64>,
}

/// Balance of an account as the metrics show it.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaAccount {
    /// The account.
    pub account: AccountName,
    /// What may be used at this instance without an ask, in units of the quota.
    pub balance: u64,
    /// Share of the quota that the account uses over all instances.
    pub utilisation: f32,
}

impl Quotas {
    /// Nothing is lent or borrowed yet.
    pub fn new(now: Timestamp) -> Self {
        Self {
            unresponsive: UnresponsivePeers::default(),
            counter: Mutex::new(QuotaCounter::new(now)),
            balances: Mutex::default(),
            due: Mutex::default(),
            fleet: Mutex::default(),
            has_balances: Notify::new(),
        }
    }

    /// Counts the use of the accounts of this instance's groups.
    pub fn counter(&self) -> MutexGuard<'_, QuotaCounter> {
        lock(&self.counter)
    }

    /// Balances at this instance.
    pub fn balances(&self) -> MutexGuard<'_, Balances> {
        lock(&self.balances)
    }

    /// Asks that are to be sent.
    pub fn due(&self) -> MutexGuard<'_, DueAsks> {
        lock(&self.due)
    }

    /// The fleet as it was seen last.
    pub fn fleet(&self) -> MutexGuard<'_, FollowedFleet> {
        lock(&self.fleet)
    }

    /// Completes when there is a balance to refill.
    pub async fn until_balances(&self) {
        while self.balances().accounts.is_empty() {
            self.has_balances.notified().await;
        }
    }

    /// Calls `charge` with the balance of an account, a new one if there is none.
    pub fn with_balance<T>(
        &self,
        account: &AccountName,
        charge: impl FnOnce(&mut AccountBalance) -> T,
    ) -> T {
        let mut balances = self.balances();
        if let Some(known) = balances.accounts.get_mut(account) {
            return charge(known);
        }
        let new = AccountBalance::new(account.clone());
        let result = charge(balances.accounts.entry(account.clone()).or_insert(new));
        drop(balances);
        self.has_balances.notify_one();
        result
    }
}

impl Balances {
    /// The balance of an account; `None` if there is none.
    pub fn get_mut(&mut self, account: &AccountName) -> Option<&mut AccountBalance> {
        self.accounts.get_mut(account)
    }

    /// All balances.
    pub fn all_mut(&mut self) -> impl Iterator<Item = (&AccountName, &mut AccountBalance)> {
        self.accounts.iter_mut()
    }

    /// Forgets all loans.
    pub fn on_pause(&mut self, now: Timestamp) {
        for account in self.accounts.values_mut() {
            account.balance.on_pause(now);
            account.wake_waiting();
        }
    }

    /// Another instance counts these groups now.
    pub fn on_other_counter(&mut self, now: Timestamp, groups: &[QuotaGroup]) {
        for (name, account) in &mut self.accounts {
            if groups.contains(&QuotaGroup::of(name)) {
                account.balance.on_other_counter(now);
            }
        }
    }

    /// Drops the balances that a new one could replace.
    pub fn drop_unneeded(&mut self, now: Timestamp) {
        self.accounts.retain(|_, account| !account.balance.is_unneeded(now));
    }

    /// Balances for the metrics, by account.
    pub fn summary(&self, now: Timestamp) -> Vec<QuotaAccount> {
        let of = |(account, known): (&AccountName, &AccountBalance)| QuotaAccount {
            account: account.clone(),
            balance: known.balance.balance(now),
            utilisation: known.balance.utilisation(now),
        };
        self.accounts.iter().map(of).collect()
    }
}

impl AccountBalance {
    fn new(account: AccountName) -> Self {
        Self {
            balance: QuotaBalance::new(account),
            is_unanswered: false,
            replies: watch::Sender::new(0),
        }
    }

    /// Applies the reply to an ask and wakes the requests that wait for it.
    pub fn on_reply(&mut self, now: Timestamp, asked_at: Timestamp, reply: Option<LoanReply>) {
        self.balance.on_reply(now, asked_at, reply);
        self.is_unanswered = reply.is_none();
        self.wake_waiting();
    }

    fn wake_waiting(&self) {
        self.replies.send_modify(|count| *count += 1);
    }
}

fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}

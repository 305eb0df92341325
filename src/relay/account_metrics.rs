//! Metrics of client accounts and their quotas, with a bounded number of time series.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::quotas::QuotaAccount;
use crate::decide::accounts::Account;
use crate::decide::quotas::LoanReply;
use crate::names::AccountName;

/// Most accounts with time series of their own.
const MAX_NAMES: usize = 64;
/// Name under which the other accounts are counted.
const OTHER_ACCOUNTS: &str = "(other)";

/// How an ask for a loan ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskOutcome {
    /// What was needed was lent, if anything was.
    Granted,
    /// Something was needed, and nothing was lent.
    Refused,
    /// The counting instance didn't answer, or doesn't count the account.
    Unanswered,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AskLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AccountLabels {
    account: String,
}

/// Counters and gauges by account.
#[derive(Debug, Default)]
pub struct AccountMetrics {
    names: Mutex<HashSet<AccountName>>,
    admitted: Family<AccountLabels, Counter>,
    limited: Family<AccountLabels, Counter>,
    tokens: Family<AccountLabels, Counter>,
    refunded: Family<AccountLabels, Counter>,
    balance: Family<AccountLabels, Gauge>,
    utilisation: Family<AccountLabels, Gauge<f64, AtomicU64>>,
    asks: Family<AskLabels, Counter>,
    own_share: Counter,
}

impl AskOutcome {
    /// The outcome that a reply stands for; `None` if there was none.
    pub fn of(reply: Option<LoanReply>) -> Self {
        match reply {
            Some(LoanReply { granted: 0, wait_ms: 1.., .. }) => Self::Refused,
            Some(_) => Self::Granted,
            None => Self::Unanswered,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
        }
    }
}

impl AccountMetrics {
    /// Registers all of them.
    pub fn register(&self, r: &mut Registry) {
        let help = "Requests admitted for an account";
        r.register("account_admitted", help, self.admitted.clone());
        let help = "Requests of an account that its quota kept back";
        r.register("account_limited", help, self.limited.clone());
        let help = "Tokens of the requests admitted for an account";
        r.register("account_tokens", help, self.tokens.clone());
        let help = "Cost that was refunded to an account, in units of its quota, as its requests didn't run";
        r.register("account_refunded", help, self.refunded.clone());
        let help = "What an account may use at this instance without an ask";
        r.register("account_balance", help, self.balance.clone());
        let help = "Share of its quota that an account uses over all instances";
        r.register("account_utilisation", help, self.utilisation.clone());
        let help = "Asks for loans from quotas, by their replies";
        r.register("quota_asks", help, self.asks.clone());
        let help = "Requests charged to this instance's own share of a quota";
        r.register("quota_own_share", help, self.own_share.clone());
    }

    /// Counts an admitted request with this sum of token counts.
    pub fn on_admitted(&self, account: &Account, tokens: Option<u64>) {
        let plain_cost = account.quota.as_ref().map_or(0, |quota| quota.plain_cost);
        let labels = self.labels(&account.name);
        self.admitted.get_or_create(&labels).inc();
        self.tokens.get_or_create(&labels).inc_by(tokens.unwrap_or(plain_cost));
    }

    /// Counts a request that was charged to the instance's own share of a quota.
    pub fn on_own_share(&self) {
        self.own_share.inc();
    }

    /// Counts a request that its quota kept back.
    pub fn on_limited(&self, account: &AccountName) {
        self.limited.get_or_create(&self.labels(account)).inc();
    }

    /// Counts a cost that was given back.
    pub fn on_refunded(&self, account: &AccountName, cost: u64) {
        self.refunded.get_or_create(&self.labels(account)).inc_by(cost);
    }

    /// Counts an ask for a loan.
    pub fn on_ask(&self, outcome: AskOutcome) {
        self.asks.get_or_create(&AskLabels { outcome: outcome.name() }).inc();
    }

    /// Sets the gauges to the present balances.
    pub fn set_balances(&self, balances: &[QuotaAccount]) {
        self.balance.clear();
        self.utilisation.clear();
        for QuotaAccount { account, balance, utilisation } in balances {
            let labels = self.labels(account);
            if labels.account == OTHER_ACCOUNTS {
                continue;
            }
            let balance = i64::try_from(*balance).unwrap_or(i64::MAX);
            self.balance.get_or_create(&labels).set(balance);
            self.utilisation.get_or_create(&labels).set(f64::from(*utilisation));
        }
    }

    fn labels(&self, account: &AccountName) -> AccountLabels {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        if !names.contains(account) && names.len() < MAX_NAMES {
            names.insert(account.clone());
        }
        let name = if names.contains(account) { account.as_str() } else { OTHER_ACCOUNTS };
        AccountLabels { account: name.to_owned() }
    }
}

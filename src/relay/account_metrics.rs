//! Metrics of client accounts, with a bounded number of time series.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::decide::accounts::Account;
use crate::names::AccountName;

/// Most accounts that have time series of their own.
const MAX_NAMED_ACCOUNTS: usize = 64;
/// Label of all other accounts.
const OTHER_ACCOUNTS: &str = "(other)";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AccountLabels {
    account: String,
}

/// Counters of requests by account.
#[derive(Debug, Default)]
pub struct AccountMetrics {
    admitted: Family<AccountLabels, Counter>,
    tokens: Family<AccountLabels, Counter>,
    named: Mutex<HashSet<AccountName>>,
}

impl AccountMetrics {
    /// Adds the counters to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Requests admitted for an account";
        registry.register("account_admitted", help, self.admitted.clone());
        let help = "Tokens of the requests admitted for an account";
        registry.register("account_tokens", help, self.tokens.clone());
    }

    /// Counts an admitted request with this sum of token counts.
    pub fn on_admitted(&self, account: &Account, tokens: Option<u64>) {
        let plain_cost = account.quota.as_ref().map_or(0, |quota| quota.plain_cost);
        let labels = self.labels(&account.name);
        self.admitted.get_or_create(&labels).inc();
        self.tokens.get_or_create(&labels).inc_by(tokens.unwrap_or(plain_cost));
    }

    /// Labels of an account; the first ones that are counted get their own name.
    fn labels(&self, name: &AccountName) -> AccountLabels {
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        let has_room = named.len() < MAX_NAMED_ACCOUNTS;
        if has_room && !named.contains(name) {
            named.insert(name.clone());
        }
        let label = if named.contains(name) { name.as_str() } else { OTHER_ACCOUNTS };
        AccountLabels { account: label.to_owned() }
    }
}

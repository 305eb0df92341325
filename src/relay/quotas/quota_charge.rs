//! The cost of one request, as charged to its account.

use std::sync::Arc;

use crate::decide::accounts::Account;
use crate::relay::node::Node;

/// Cost that was charged for a request; refunded when this is dropped, unless it is kept.
pub struct QuotaCharge {
    node: Arc<Node>,
    account: Arc<Account>,
    cost: u64,
    utilisation: f32,
    is_kept: bool,
}

impl QuotaCharge {
    /// A cost that was taken from the balance of an account, of whose quota this share is in use.
    pub fn new(node: &Arc<Node>, account: &Arc<Account>, cost: u64, utilisation: f32) -> Self {
        let (node, account) = (Arc::clone(node), Arc::clone(account));
        Self { node, account, cost, utilisation, is_kept: false }
    }

    /// Share of its quota that the account used when the request was charged.
    pub fn utilisation(&self) -> f32 {
        self.utilisation
    }

    /// Keeps the cost, as the request may have run.
    pub fn keep(&mut self) {
        self.is_kept = true;
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if self.is_kept {
            return;
        }
        let now = self.node.now();
        if let Some(known) = self.node.quotas.balances().get_mut(&self.account.name) {
            known.balance.refund(now, self.cost);
        }
        self.node.metrics.accounts.on_refunded(&self.account.name, self.cost);
    }
}

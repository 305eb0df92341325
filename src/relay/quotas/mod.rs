//! Quotas of client accounts: charges callers' requests, borrows from the instances that count the
//! accounts, and lends as one that counts.
//!
//! [`crate::decide::quotas`] decides. A request whose cost is covered by the balance of its account
//! takes one lock and no message. Accounts without a quota, and deployments without accounts, never
//! come here.

mod asks;
mod balances;
mod charge;
mod lending;
mod quota_charge;

pub use balances::QuotaAccount;
pub use balances::Quotas;
pub use charge::charge;
pub use lending::answer;
pub use lending::follow_fleet;
pub use quota_charge::QuotaCharge;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::node::Node;

/// Interval at which balances are checked for asks ahead of demand.
const REFILL_INTERVAL: Duration = Duration::from_millis(100);

/// Refills balances until the process ends; sleeps while there are none.
pub async fn run(node: Arc<Node>) {
    loop {
        node.quotas.until_balances().await;
        sleep(REFILL_INTERVAL).await;
        asks::refill(&node);
    }
}

/// Empties balances and counters: this process was paused, and others may have counted meanwhile.
pub fn on_pause(node: &Node) {
    let now = node.now();
    node.quotas.counter().on_pause(now);
    node.quotas.balances().on_pause(now);
}

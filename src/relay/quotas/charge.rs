//! Charges callers' requests to the balances of their accounts.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::QuotaCharge;
use super::asks;
use super::balances::AccountBalance;
use crate::decide::accounts::Account;
use crate::decide::accounts::Quota;
use crate::decide::quotas::ChargeStep;
use crate::decide::quotas::QuotaGroup;
use crate::decide::traffic::WaitBudget;
use crate::names::AccountName;
use crate::names::Timestamp;
use crate::relay::counting::counting_instance;
use crate::relay::fleet_event::FleetEvent;
use crate::relay::log_event::record;
use crate::relay::node::Node;
use crate::relay::response::LocalResponse;

/// Longest wait of a request for loans.
const MAX_LOAN_WAIT: Duration = Duration::from_millis(600);
/// Time after which the caller of a request that has waited for so long may retry.
const LATE_LOAN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Time after the start of the process in which it hasn't learned the fleet.
const LEARNING_TIME: Duration = Duration::from_millis(1500);
/// Shortest time after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Precision of the waits that a counting instance tells, which are rounded down.
const WAIT_PRECISION: Duration = Duration::from_millis(1);

/// A balance after an attempt to charge a request to it.
struct Attempted {
    step: ChargeStep,
    utilisation: f32,
    /// Whether the counting instance didn't answer the last ask.
    is_unanswered: bool,
    /// Changes with the reply to the ask that is under way.
    replies: watch::Receiver<u64>,
}

/// Charges the cost of the request `id` to the quota of its account.
///
/// # Errors
///
/// `OverQuota` if the account is over its quota, `NotYet` if nobody can tell.
pub async fn charge(
    node: &Arc<Node>,
    account: &Arc<Account>,
    quota: &Quota,
    cost: u64,
    id: &str,
) -> Result<QuotaCharge, LocalResponse> {
    let waited = timeout(MAX_LOAN_WAIT, charge_or_wait(node, &account.name, quota, cost)).await;
    let step = match waited {
        Ok(Attempted { step: ChargeStep::Charged, utilisation, is_unanswered, .. }) => {
            if is_unanswered {
                node.metrics.accounts.on_own_share();
            }
            return Ok(QuotaCharge::new(node, account, cost, utilisation));
        }
        Ok(Attempted { step, .. }) => step,
        Err(_) => ChargeStep::Unavailable(LATE_LOAN_RETRY_AFTER),
    };
    let spread = xxh3_64(id.as_bytes());
    let retry_after = |wait: Duration| {
        WaitBudget::retry_after(wait.max(MIN_RETRY_AFTER) + WAIT_PRECISION, spread)
    };
    let (response, wait) = match step {
        ChargeStep::Denied(wait) => (LocalResponse::OverQuota(retry_after(wait)), wait),
        ChargeStep::Unavailable(wait) => (LocalResponse::NotYet(retry_after(wait)), wait),
        ChargeStep::Charged | ChargeStep::Ask(_) | ChargeStep::AwaitReply => {
            (LocalResponse::NotYet(retry_after(LATE_LOAN_RETRY_AFTER)), LATE_LOAN_RETRY_AFTER)
        }
    };
    node.metrics.accounts.on_limited(&account.name);
    record_refusal(node, &account.name, cost, id, wait);
    Err(response)
}

/// Charges a request; waits for the replies to asks until it is charged or refused.
async fn charge_or_wait(
    node: &Arc<Node>,
    account: &AccountName,
    quota: &Quota,
    cost: u64,
) -> Attempted {
    loop {
        let now = node.now();
        let mut attempted = attempt(node, now, account, quota, cost);
        match attempted.step {
            ChargeStep::Ask(ask) => asks::send(node, now, ask),
            ChargeStep::AwaitReply => {}
            ChargeStep::Charged | ChargeStep::Denied(_) | ChargeStep::Unavailable(_) => {
                return attempted;
            }
        }
        if attempted.replies.changed().await.is_err() {
            log::debug!("balance of {account} was dropped while a request waited, which goes on");
        }
    }
}

fn attempt(
    node: &Node,
    now: Timestamp,
    account: &AccountName,
    quota: &Quota,
    cost: u64,
) -> Attempted {
    let own_share = own_share(node);
    node.quotas.with_balance(account, |known: &mut AccountBalance| Attempted {
        step: known.balance.charge(now, quota, own_share, cost),
        utilisation: known.balance.utilisation(now),
        is_unanswered: known.is_unanswered,
        replies: known.replies.subscribe(),
    })
}

/// Part of a quota that this instance may use by itself; `None` until a round of gossip after the time
/// to learn the fleet. From that round on it also counts its own groups.
fn own_share(node: &Node) -> Option<f64> {
    let seen = node.quotas.fleet().seen;
    let learned = seen.filter(|(at, _)| at.since(Timestamp::ZERO) >= LEARNING_TIME);
    learned.map(|(_, view)| view.own_share())
}

fn record_refusal(node: &Node, account: &AccountName, cost: u64, id: &str, wait: Duration) {
    let now = node.now();
    let (balance, is_own_share) = node
        .quotas
        .with_balance(account, |known| (known.balance.balance(now), known.is_unanswered));
    let counting = counting_instance(node, &QuotaGroup::of(account).ranking_key());
    record(&FleetEvent::QuotaRefused {
        id,
        account: account.as_str(),
        cost,
        balance,
        wait_ms: wait.as_millis(),
        counting: counting.name(&node.settings.instance),
        is_own_share,
    });
}

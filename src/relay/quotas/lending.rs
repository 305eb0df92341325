//! Which instance counts each group of accounts, and this instance as one that does: it lends.

use std::collections::BTreeMap;
use std::time::Duration;

use super::balances::FollowedFleet;
use crate::decide::accounts::Account;
use crate::decide::quotas::LoanAsk;
use crate::decide::quotas::LoanReply;
use crate::decide::quotas::QuotaGroup;
use crate::names::InstanceName;
use crate::relay::counting::counting_instance;
use crate::relay::counting::fleet_view;
use crate::relay::fleet_event::FleetEvent;
use crate::relay::log_event::record;
use crate::relay::node::Node;
use crate::send_permits::CountingInstance;
use crate::wire::quota::QuotaReply;
use crate::wire::quota::QuotaRequest;

/// Longest time since the last round of gossip in which this instance lends. After a longer one the
/// process was paused, and another instance may count.
const MAX_ROUND_AGE: Duration = Duration::from_secs(1);
/// Wait of an account that this instance doesn't know; its configuration may be older.
const UNKNOWN_ACCOUNT_WAIT_MS: u64 = 250;

/// Follows the fleet and which instances count the groups; called in each round of gossip.
pub fn follow_fleet(node: &Node) {
    let has_accounts =
        node.config.borrow().as_ref().is_some_and(|config| config.accounts.is_some());
    if !has_accounts {
        return;
    }
    let now = node.now();
    let seen = Some((now, fleet_view(node)));
    let counting_of = |group: QuotaGroup| counting_instance(node, &group.ranking_key());
    let counting: BTreeMap<QuotaGroup, CountingInstance> =
        QuotaGroup::all().map(|group| (group, counting_of(group))).collect();
    let new = FollowedFleet { seen, counting: counting.clone() };
    let former = std::mem::replace(&mut *node.quotas.fleet(), new);
    {
        let mut counter = node.quotas.counter();
        if former.seen.is_some_and(|(at, _)| now.since(at) >= MAX_ROUND_AGE) {
            counter.on_pause(now);
        }
        for (group, instance) in &counting {
            counter.on_counting(now, *group, *instance == CountingInstance::Own);
        }
        counter.drop_unneeded(now);
    }
    let changed: Vec<QuotaGroup> = counting
        .iter()
        .filter(|(group, instance)| former.counting.get(group) != Some(instance))
        .map(|(group, _)| *group)
        .collect();
    if changed.is_empty() {
        return;
    }
    node.quotas.balances().on_other_counter(now, &changed);
    for group in changed {
        record_counting(node, group, &counting[&group]);
    }
}

fn record_counting(node: &Node, group: QuotaGroup, counting: &CountingInstance) {
    let group = group.ranking_key();
    let by = counting.name(&node.settings.instance);
    record(&FleetEvent::QuotaGroupCounted { group: &group, by });
}

/// Answers another instance that asks for loans.
pub fn answer(node: &Node, request: &QuotaRequest) -> QuotaReply {
    QuotaReply { replies: lend(node, &request.user, &request.asks) }
}

/// Lends to an instance; `None` in place of a reply if this instance doesn't count the account.
pub fn lend(node: &Node, user: &InstanceName, asks: &[LoanAsk]) -> Vec<Option<LoanReply>> {
    let now = node.now();
    let seen = node.quotas.fleet().seen.filter(|(at, _)| now.since(*at) < MAX_ROUND_AGE);
    let config = node.current_config();
    let accounts = config.as_ref().and_then(|config| config.accounts.as_ref());
    let (Some((_, view)), Some(accounts)) = (seen, accounts) else {
        return vec![None; asks.len()];
    };
    let mut counter = node.quotas.counter();
    let reply_to = |ask: &LoanAsk| match accounts.get(&ask.account).map(AsRef::as_ref) {
        Some(Account { quota: Some(quota), .. }) => {
            counter.ask(now, user, quota, view.counted_share(), ask)
        }
        Some(Account { quota: None, .. }) => {
            Some(LoanReply { granted: ask.wanted.max(ask.needed), ..LoanReply::default() })
        }
        None => Some(LoanReply { wait_ms: UNKNOWN_ACCOUNT_WAIT_MS, ..LoanReply::default() }),
    };
    asks.iter().map(reply_to).collect()
}

//! Asks for loans: those of a group that are due together go in one call, one call at a time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::yield_now;

use super::lending;
use crate::decide::quotas::LoanAsk;
use crate::decide::quotas::LoanReply;
use crate::decide::quotas::QuotaGroup;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::relay::account_metrics::AskOutcome;
use crate::relay::counting::counting_instance;
use crate::relay::exchange;
use crate::relay::log_event::LogEvent;
use crate::relay::log_event::record;
use crate::relay::node::Node;
use crate::relay::reset_guard::ResetGuard;
use crate::send_permits::CountingInstance;
use crate::wire::quota::QUOTA_PATH;
use crate::wire::quota::QuotaReply;
use crate::wire::quota::QuotaRequest;

/// Timeout of an ask for loans.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Most asks in one call.
const MAX_ASKS: usize = 512;

/// Asks that are to be sent, by group.
#[derive(Debug, Default)]
pub struct DueAsks(BTreeMap<QuotaGroup, GroupAsks>);

/// Asks of the accounts of one group.
#[derive(Debug, Default)]
struct GroupAsks {
    asks: Vec<DueAsk>,
    /// Whether a task sends them.
    is_sending: bool,
}

/// An ask and the time at which its balance was found short.
#[derive(Debug)]
struct DueAsk {
    ask: LoanAsk,
    asked_at: Timestamp,
}

impl DueAsks {
    /// Adds an ask; returns whether its group needs a task that sends it.
    fn add(&mut self, group: QuotaGroup, due: DueAsk) -> bool {
        let known = self.0.entry(group).or_default();
        known.asks.push(due);
        !std::mem::replace(&mut known.is_sending, true)
    }

    /// The asks for the next call; empty if none are left, so that the task ends.
    fn take(&mut self, group: QuotaGroup) -> Vec<DueAsk> {
        let known = self.0.entry(group).or_default();
        let count = known.asks.len().min(MAX_ASKS);
        known.is_sending = count > 0;
        known.asks.drain(..count).collect()
    }

    /// Records that the task of a group has ended before its asks were sent; the next ask starts another.
    fn on_task_lost(&mut self, group: QuotaGroup) {
        self.0.entry(group).or_default().is_sending = false;
    }
}

/// Sends an ask together with the others of its group, without waiting for the reply.
pub fn send(node: &Arc<Node>, asked_at: Timestamp, ask: LoanAsk) {
    let group = QuotaGroup::of(&ask.account);
    if node.quotas.due().add(group, DueAsk { ask, asked_at }) {
        tokio::spawn(send_due(Arc::clone(node), group));
    }
}

/// Asks ahead of demand for the accounts that are short, and drops the balances that aren't needed.
pub fn refill(node: &Arc<Node>) {
    let now = node.now();
    let asks: Vec<LoanAsk> = {
        let mut balances = node.quotas.balances();
        balances.drop_unneeded(now);
        balances.all_mut().filter_map(|(_, known)| known.balance.refill(now)).collect()
    };
    for ask in asks {
        send(node, now, ask);
    }
}

async fn send_due(node: Arc<Node>, group: QuotaGroup) {
    let unfinished = ResetGuard::new(|| node.quotas.due().on_task_lost(group));
    loop {
        // Lets the asks of other requests that have arrived join the call.
        yield_now().await;
        let mut due = node.quotas.due().take(group);
        if due.is_empty() {
            return unfinished.disarm();
        }
        add_asks_that_join(&node, group, &mut due);
        let (times, asks): (Vec<Timestamp>, Vec<LoanAsk>) =
            due.into_iter().map(|due| (due.asked_at, due.ask)).unzip();
        let replies = ask_counting_instance(&node, group, &asks).await;
        let now = node.now();
        let mut balances = node.quotas.balances();
        for (index, (ask, asked_at)) in asks.iter().zip(times).enumerate() {
            let reply = replies.get(index).copied().flatten();
            node.metrics.accounts.on_ask(AskOutcome::of(reply));
            if let Some(known) = balances.get_mut(&ask.account) {
                known.on_reply(now, asked_at, reply);
            }
        }
    }
}

/// Adds what other accounts of the group need soon, since the call is made anyway.
fn add_asks_that_join(node: &Node, group: QuotaGroup, due: &mut Vec<DueAsk>) {
    let now = node.now();
    let mut balances = node.quotas.balances();
    let of_group = balances.all_mut().filter(|(account, _)| QuotaGroup::of(account) == group);
    let joining = of_group.filter_map(|(_, known)| known.balance.join_call(now));
    let room = MAX_ASKS.saturating_sub(due.len());
    due.extend(joining.take(room).map(|ask| DueAsk { ask, asked_at: now }));
}

/// Replies of the instance that counts a group, in the order of the asks; none if it doesn't answer.
async fn ask_counting_instance(
    node: &Node,
    group: QuotaGroup,
    asks: &[LoanAsk],
) -> Vec<Option<LoanReply>> {
    match counting_instance(node, &group.ranking_key()) {
        CountingInstance::Own => lending::lend(node, &node.settings.instance, asks),
        CountingInstance::Peer(name, addr) => {
            if node.quotas.unresponsive.contains(node.now(), &name) {
                return Vec::new();
            }
            let request =
                QuotaRequest { user: node.settings.instance.clone(), asks: asks.to_vec() };
            let reply: Result<QuotaReply> =
                exchange::call_peer(node, addr, QUOTA_PATH, &request, ASK_TIMEOUT).await;
            replies_of(node, &name, reply, asks.len())
        }
        CountingInstance::Unknown => Vec::new(),
    }
}

fn replies_of(
    node: &Node,
    name: &InstanceName,
    reply: Result<QuotaReply>,
    asks: usize,
) -> Vec<Option<LoanReply>> {
    let detail = match reply {
        Ok(QuotaReply { replies }) if replies.len() == asks => return replies,
        Ok(QuotaReply { replies }) => format!("{} replies to {asks} asks", replies.len()),
        // A process of before this message.
        Err(e) if e.kind == ErrorKind::NotFound => return Vec::new(),
        Err(e) => e.to_string(),
    };
    let (what, subject) = ("loans", name.as_str());
    record(&LogEvent::PeerFailed { what, subject, detail: &detail });
    node.quotas.unresponsive.add(node.now(), name);
    Vec::new()
}

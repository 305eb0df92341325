//! Notices to the owners of replicas, sent without waiting for the call: which adapters this
//! instance's requests use, which turns of long prompts are over, and which requests failed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::exchange::PEER_CALL_TIMEOUT;
use super::exchange::call_peer;
use super::exchange::own_workloads;
use super::node::Node;
use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::Replica;
use crate::decide::traffic::UseUpdate;
use crate::error::Result;
use crate::names::BackendName;
use crate::names::InstanceName;
use crate::wire::relay::FAILURE_PATH;
use crate::wire::relay::FailureNotice;
use crate::wire::relay::REPEATED_USES_PATH;
use crate::wire::relay::RepeatedUses;
use crate::wire::relay::ReplicaWorkload;
use crate::wire::relay::TURN_END_PATH;
use crate::wire::relay::TurnRef;
use crate::wire::relay::USE_PATH;
use crate::wire::relay::UseNotice;

/// Interval at which owners are told again which adapters are in use; they forget after 10 s.
const REPEAT_USES_INTERVAL: Duration = Duration::from_secs(3);

/// Tells the owner of `replica` how many of this instance's requests use `key` there, without
/// waiting for the call.
pub fn notify_owner_of_use(node: &Arc<Node>, replica: &BackendName, key: &AdapterKey, count: u32) {
    let now = node.now();
    let owner = node.peers().preferred_owner(now, replica.as_str());
    let me = &node.settings.instance;
    let update = UseUpdate { user: me.clone(), count, serial: node.next_use_serial() };
    let event_gap = node.replicas().get_mut(replica).and_then(Replica::take_untold_pace);
    let Some(owner) = owner.filter(|owner| owner != me) else {
        if let Some(owned) = node.owned().get_mut(replica) {
            owned.plan.on_use(now, key, &update);
            if let Some(gap) = event_gap {
                owned.pace.on_stream(now, gap);
            }
        }
        node.order_wake.notify_one();
        return;
    };
    let Some(addr) = node.peers().addr_of(now, &owner) else { return };
    let event_gap_us = event_gap.and_then(|gap| u32::try_from(gap.as_micros()).ok());
    let notice =
        UseNotice { replica: replica.clone(), key: key.clone(), news: update, event_gap_us };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let sent: Result<()> = call_peer(&node, addr, USE_PATH, &notice, PEER_CALL_TIMEOUT).await;
        if let Err(e) = sent {
            log::debug!("adapter use at {} not reported to {owner}: {e}", notice.replica);
        }
    });
}

/// Tells the owner of a replica that a turn is over, without waiting for the call.
pub fn notify_owner_of_turn_end(node: &Arc<Node>, owner: InstanceName, turn_ref: TurnRef) {
    let Some(addr) = node.peers().addr_of(node.now(), &owner) else { return };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let sent: Result<()> =
            call_peer(&node, addr, TURN_END_PATH, &turn_ref, PEER_CALL_TIMEOUT).await;
        if let Err(e) = sent {
            log::debug!(
                "end of a turn at {} not reported to {owner}, where it expires by itself: {e}",
                turn_ref.replica
            );
        }
    });
}

/// Tells the owner of `replica` that a request of this instance failed there, without waiting for
/// the call; nobody is told of replicas without a model engine, which have no owner.
pub fn notify_owner_of_failure(node: &Arc<Node>, replica: &BackendName, weight: f64) {
    let now = node.now();
    let has_models =
        node.replicas().get(replica).is_some_and(|known| !known.entry.models.is_empty());
    let owner = node.peers().preferred_owner(now, replica.as_str());
    let Some(owner) = owner.filter(|owner| has_models && *owner != node.settings.instance) else {
        return;
    };
    let Some(addr) = node.peers().addr_of(now, &owner) else { return };
    let notice = FailureNotice { replica: replica.clone(), weight };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let sent: Result<()> =
            call_peer(&node, addr, FAILURE_PATH, &notice, PEER_CALL_TIMEOUT).await;
        if let Err(e) = sent {
            log::debug!("failure at {} not reported to {owner}: {e}", notice.replica);
        }
    });
}

/// Repeats to the owners of replicas which adapters this instance's requests use there, in a fleet
/// in which exchanges don't tell all of them; until the process ends.
pub async fn repeat_uses(node: Arc<Node>) {
    loop {
        sleep(REPEAT_USES_INTERVAL).await;
        let now = node.now();
        if node.peers().is_small_fleet(now) {
            continue;
        }
        let mut by_owner: HashMap<InstanceName, Vec<ReplicaWorkload>> = HashMap::new();
        for work in own_workloads(&node) {
            let owner = node.peers().preferred_owner(now, work.replica.as_str());
            if let Some(owner) = owner.filter(|owner| *owner != node.settings.instance) {
                by_owner.entry(owner).or_default().push(work);
            }
        }
        for (owner, loads) in by_owner {
            let user = node.settings.instance.clone();
            let repeated = RepeatedUses { user, use_serial: node.use_serial(), loads };
            tokio::spawn(send_repeated_uses(Arc::clone(&node), owner, repeated));
        }
    }
}

async fn send_repeated_uses(node: Arc<Node>, owner: InstanceName, repeated: RepeatedUses) {
    let Some(addr) = node.peers().addr_of(node.now(), &owner) else { return };
    let sent: Result<()> =
        call_peer(&node, addr, REPEATED_USES_PATH, &repeated, PEER_CALL_TIMEOUT).await;
    if let Err(e) = sent {
        log::debug!("adapter uses not repeated to {owner}, left to the next time: {e}");
    }
}

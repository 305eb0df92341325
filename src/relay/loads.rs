//! Gets the adapter of a waiting request loaded at a replica.
//!
//! The instance that serves the request asks the owners of the candidate replicas; the owner of a
//! replica is the instance that gives it its orders. A candidate that holds the adapter is
//! preferred, then one that has a free slot, and last the first one queues the load. The owner
//! registers the demand with the replica's plan and replies once the adapter is loaded.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use super::exchange;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::RequestNeeds;
use crate::names::BackendName;
use crate::names::Timestamp;
use crate::wire::relay::LoadMode;
use crate::wire::relay::LoadReply;
use crate::wire::relay::LoadRequest;

/// Replicas that are asked to load an adapter into a free slot.
const MAX_TARGETS: usize = 3;
/// Timeout of a load that no request waits for.
const BACKGROUND_LOAD_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time within which a load must begin, unless it is queued.
const LOAD_START_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after no replica could load the adapter.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Has `key` loaded at one of `targets`, best first; returns when it is, or after `limit`.
///
/// A target that holds it already is used, else the first that has a free slot loads it. If
/// none has, the first target queues the load. `pick` is a hash that selects among the
/// adapter's homes.
pub async fn load_at_any(
    node: &Arc<Node>,
    key: &AdapterKey,
    targets: &[BackendName],
    limit: Duration,
    pick: u64,
) {
    let tried = async {
        if probe_holders(node, key, targets, limit, pick).await {
            return;
        }
        for (mode, count) in [(LoadMode::IfFree, MAX_TARGETS), (LoadMode::Queue, 1)] {
            for target in targets.iter().take(count) {
                if load_at(node, key, target, limit, mode).await {
                    return;
                }
            }
        }
        sleep(RETRY_DELAY).await;
    };
    if timeout(limit, tried).await.is_err() {
        record(&LogEvent::LoadLate { adapter: &key.label() });
    }
}

/// Asks the targets of the probe order whether they hold `key`; returns whether one does.
///
/// If every holder that is asked is too busy, the one with the fewest requests is used, and a
/// further replica loads `key` for later requests.
async fn probe_holders(
    node: &Arc<Node>,
    key: &AdapterKey,
    targets: &[BackendName],
    limit: Duration,
    pick: u64,
) -> bool {
    let probe_order = node.homes().probe_order(node.now(), key, targets.len(), pick);
    let mut busy_holder: Option<(&BackendName, LoadReply)> = None;
    let mut non_holder = None;
    for target in probe_order.into_iter().filter_map(|rank| targets.get(rank)) {
        let reply = ask_owner(node, key, target, limit, LoadMode::IfKnown).await;
        match reply.version {
            Some(version) if !reply.crowded => {
                on_loaded(node, target, key, version);
                return true;
            }
            Some(_) if busy_holder.is_none_or(|(_, least)| reply.requests < least.requests) => {
                busy_holder = Some((target, reply));
            }
            Some(_) => {}
            None => non_holder = non_holder.or(Some(target)),
        }
    }
    let Some((target, reply)) = busy_holder else { return false };
    let now = node.now();
    if let (Some(known), Some(version)) = (node.replicas().get_mut(target), reply.version) {
        known.on_loaded_but_busy(now, key.clone(), version);
    }
    let further_rank = node.homes().widen(now, key, targets.len(), pick);
    if let Some(non_holder) = non_holder.or(targets.get(further_rank)) {
        load_in_background(node, key.clone(), non_holder.clone());
    }
    true
}

/// Has another replica load the adapter, as those that hold it are busy; nothing waits for it.
pub fn load_extra_copy(node: &Arc<Node>, needs: &RequestNeeds, target: BackendName) {
    if let Some(key) = needs.key.clone() {
        load_in_background(node, key, target);
    }
}

fn load_in_background(node: &Arc<Node>, key: AdapterKey, target: BackendName) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        load_at(&node, &key, &target, BACKGROUND_LOAD_TIMEOUT, LoadMode::IfFree).await;
    });
}

/// Serves a load request as the replica's owner: waits until the adapter is loaded or can't be.
pub async fn load_as_owner(node: &Node, request: &LoadRequest) -> LoadReply {
    let version = wait_as_owner(node, request).await;
    let now = node.now();
    let mut homes = node.homes();
    homes.on_peer_width(now, &request.key, request.width);
    let all = node.owned();
    let Some(owned) = all.get(&request.replica) else { return LoadReply::default() };
    LoadReply {
        version,
        crowded: owned.plan.needs_another_replica(now, &request.key, homes.typical_requests()),
        requests: owned.plan.requests(now),
        width: homes.width(now, &request.key),
    }
}

async fn wait_as_owner(node: &Node, request: &LoadRequest) -> Option<u64> {
    let LoadRequest { replica, key, wait_ms, mode, .. } = request;
    let limit = Duration::from_millis(*wait_ms);
    let mut changes = node.plan_changes.subscribe();
    register_demand(node, replica, key, *mode)?;
    node.order_wake.notify_one();
    let deadline = node.now() + limit;
    let start_limit = match mode {
        LoadMode::Queue => limit,
        LoadMode::IfKnown | LoadMode::IfFree => LOAD_START_TIMEOUT,
    };
    let start_by = node.now() + start_limit;
    loop {
        let pause = match load_progress(node, key, replica, start_by) {
            LoadProgress::Held(version) => return Some(version),
            LoadProgress::Failed => return None,
            LoadProgress::Pending(pause) => pause.unwrap_or(limit),
        };
        let left = deadline.since(node.now());
        if left.is_zero() {
            return None;
        }
        tokio::select! {
            changed = changes.changed() => changed.ok()?,
            () = sleep(pause.min(left)) => {}
        }
    }
}

/// Progress of a load.
enum LoadProgress {
    Held(u64),
    /// Not there yet; worth another check after this time, or only after a change if `None`.
    Pending(Option<Duration>),
    Failed,
}

fn load_progress(
    node: &Node,
    key: &AdapterKey,
    replica: &BackendName,
    start_by: Timestamp,
) -> LoadProgress {
    let now = node.now();
    let mut all = node.owned();
    let Some(owned) = all.get_mut(replica).filter(|owned| owned.lease.is_held()) else {
        return LoadProgress::Failed;
    };
    if let Some(version) = owned.plan.held_version(now, key) {
        return LoadProgress::Held(version);
    }
    if owned.plan.is_loading(key) {
        return LoadProgress::Pending(owned.plan.presumed_done_in(now, key));
    }
    if now >= start_by {
        owned.plan.cancel_load_request(key);
        return LoadProgress::Failed;
    }
    LoadProgress::Pending(Some(start_by.since(now)))
}

/// Registers demand for an adapter with the replica's plan; `None` if `mode` rules a load out,
/// this instance doesn't hold the lease, or the service has no model engine.
fn register_demand(
    node: &Node,
    replica: &BackendName,
    key: &AdapterKey,
    mode: LoadMode,
) -> Option<()> {
    let now = node.now();
    let config = node.current_config()?;
    let service = node.replicas().get(replica).map(|known| known.entry.service.clone())?;
    let engine = config.service(&service)?.engine.as_ref()?;
    let mut all = node.owned();
    let owned = all.get_mut(replica).filter(|owned| owned.lease.is_held())?;
    let known = owned.plan.held_version(now, key).is_some() || owned.plan.is_loading(key);
    let is_refused = match mode {
        LoadMode::IfKnown => true,
        LoadMode::IfFree => owned.plan.is_full(now, engine),
        LoadMode::Queue => false,
    };
    if !known && is_refused {
        return None;
    }
    owned.plan.request_load(now, key);
    Some(())
}

async fn load_at(
    node: &Arc<Node>,
    key: &AdapterKey,
    target: &BackendName,
    limit: Duration,
    mode: LoadMode,
) -> bool {
    let Some(version) = ask_owner(node, key, target, limit, mode).await.version else {
        return false;
    };
    on_loaded(node, target, key, version);
    true
}

fn on_loaded(node: &Node, target: &BackendName, key: &AdapterKey, version: u64) {
    let now = node.now();
    if let Some(known) = node.replicas().get_mut(target) {
        known.on_loaded(now, key.clone(), version);
    }
}

async fn ask_owner(
    node: &Node,
    key: &AdapterKey,
    target: &BackendName,
    limit: Duration,
    mode: LoadMode,
) -> LoadReply {
    let owner = node.peers().preferred_owner(node.now(), target.as_str());
    let wait_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    let width = node.homes().width(node.now(), key);
    let request = LoadRequest { replica: target.clone(), key: key.clone(), wait_ms, mode, width };
    let reply = match owner {
        Some(owner) if owner == node.settings.instance => load_as_owner(node, &request).await,
        Some(owner) => exchange::ask_owner_to_load(node, &owner, &request).await,
        None => LoadReply::default(),
    };
    let mut homes = node.homes();
    homes.on_peer_width(node.now(), key, reply.width);
    if reply.version.is_some() {
        homes.on_replica_requests(reply.requests);
    }
    reply
}

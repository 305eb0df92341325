//! How a request gets its adapter loaded.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use super::event::Event;
use super::event::record;
use super::exchange;
use super::node::Node;
use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::Wanted;
use crate::names::BackendName;
use crate::names::Timestamp;
use crate::wire::relay::LoadMode;
use crate::wire::relay::LoadRequest;

/// Replicas that are tried for one load.
const MAX_TARGETS: usize = 3;
/// Longest time for a load that nobody waits for.
const LOAD_LIMIT: Duration = Duration::from_millis(2000);
/// Longest time until a replica begins to load it.
const START_LIMIT: Duration = Duration::from_millis(500);
/// Pause after no replica could load it.
const FAILED_PAUSE: Duration = Duration::from_millis(100);

/// Has `key` loaded at one of `targets`; returns when it is, or after `limit`.
///
/// A target that holds it already is used; else the first that has a place loads it. If none
/// has, it waits for one of the first.
pub async fn load_somewhere(
    node: &Arc<Node>,
    key: &AdapterKey,
    targets: &[BackendName],
    limit: Duration,
) {
    let tried = async {
        let steps = [
            (LoadMode::IfKnown, MAX_TARGETS),
            (LoadMode::IfFree, MAX_TARGETS),
            (LoadMode::Queue, 1),
        ];
        for (mode, count) in steps {
            for target in targets.iter().take(count) {
                if load_at(node, key, target, limit, mode).await {
                    return;
                }
            }
        }
        sleep(FAILED_PAUSE).await;
    };
    if timeout(limit, tried).await.is_err() {
        record(&Event::LoadLate { adapter: &key.rank_text() });
    }
}

/// Has another replica load what the busy ones hold; nobody waits for it.
pub fn spread(node: &Arc<Node>, wanted: &Wanted, target: BackendName) {
    let Some(key) = wanted.key.clone() else { return };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        load_at(&node, &key, &target, LOAD_LIMIT, LoadMode::IfFree).await;
    });
}

/// Waits until a replica that this instance gives orders holds an adapter; its version.
pub async fn load_here(node: &Node, request: &LoadRequest) -> Option<u64> {
    let LoadRequest { replica, key, wait_ms, mode } = request;
    let limit = Duration::from_millis(*wait_ms);
    let mut changes = node.plan_changes.subscribe();
    wish(node, replica, key, *mode)?;
    node.order_wake.notify_one();
    let deadline = node.now() + limit;
    let start_limit = match mode {
        LoadMode::Queue => limit,
        LoadMode::IfKnown | LoadMode::IfFree => START_LIMIT,
    };
    let start_by = node.now() + start_limit;
    loop {
        let pause = match look(node, key, replica, start_by) {
            Progress::Held(version) => return Some(version),
            Progress::Failed => return None,
            Progress::Coming(pause) => pause.unwrap_or(limit),
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

/// How far a load has come.
enum Progress {
    Held(u64),
    /// It is awaited; a look is worth while after the pause.
    Coming(Option<Duration>),
    Failed,
}

fn look(node: &Node, key: &AdapterKey, replica: &BackendName, start_by: Timestamp) -> Progress {
    let now = node.now();
    let mut all = node.owned();
    let Some(owned) = all.get_mut(replica).filter(|owned| owned.lease.is_held()) else {
        return Progress::Failed;
    };
    if let Some(version) = owned.plan.holds(now, key) {
        return Progress::Held(version);
    }
    if owned.plan.is_coming(key) {
        return Progress::Coming(owned.plan.arrives_in(now, key));
    }
    if now >= start_by {
        owned.plan.forget_wish(key);
        return Progress::Failed;
    }
    Progress::Coming(Some(start_by.since(now)))
}

/// Wishes for an adapter, unless it is there; `None` if that is in vain.
fn wish(node: &Node, replica: &BackendName, key: &AdapterKey, mode: LoadMode) -> Option<()> {
    let now = node.now();
    let config = node.current_config()?;
    let service = node.replicas().get(replica).map(|known| known.entry.service.clone())?;
    let engine = config.service(&service)?.engine.as_ref()?;
    let mut all = node.owned();
    let owned = all.get_mut(replica).filter(|owned| owned.lease.is_held())?;
    let known = owned.plan.holds(now, key).is_some() || owned.plan.is_coming(key);
    let in_vain = match mode {
        LoadMode::IfKnown => true,
        LoadMode::IfFree => owned.plan.is_full(now, engine),
        LoadMode::Queue => false,
    };
    if !known && in_vain {
        return None;
    }
    owned.plan.wish(now, key);
    Some(())
}

async fn load_at(
    node: &Arc<Node>,
    key: &AdapterKey,
    target: &BackendName,
    limit: Duration,
    mode: LoadMode,
) -> bool {
    let owner = node.peers().preferred(node.now(), target.as_str()).cloned();
    let wait_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    let request = LoadRequest { replica: target.clone(), key: key.clone(), wait_ms, mode };
    let version = match owner {
        Some(owner) if owner == node.settings.instance => load_here(node, &request).await,
        Some(owner) => exchange::ask_load(node, &owner, &request).await,
        None => None,
    };
    let Some(version) = version else { return false };
    if let Some(known) = node.replicas().get_mut(target) {
        known.on_loaded(node.now(), key.clone(), version);
    }
    true
}

//! How a request gets its adapter loaded.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use super::exchange;
use super::node::Node;
use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::Wanted;
use crate::names::BackendName;

/// Replicas that are tried for one load.
const MAX_TARGETS: usize = 3;
/// Longest time that one replica is given.
const TARGET_LIMIT: Duration = Duration::from_millis(1200);
/// Pause after no replica could load it.
const FAILED_PAUSE: Duration = Duration::from_millis(100);

/// Has `key` loaded at the first of `targets` that can; returns when it is, or after `limit`.
pub async fn load_somewhere(
    node: &Arc<Node>,
    key: &AdapterKey,
    targets: &[BackendName],
    limit: Duration,
) {
    let tried = async {
        for target in targets.iter().take(MAX_TARGETS) {
            if load_at(node, key, target, TARGET_LIMIT.min(limit)).await {
                return;
            }
        }
        sleep(FAILED_PAUSE).await;
    };
    if timeout(limit, tried).await.is_err() {
        log::info!("load of {}: not done in time", key.rank_text());
    }
}

/// Has another replica load what the busy ones hold; nobody waits for it.
pub fn spread(node: &Arc<Node>, wanted: &Wanted, target: BackendName) {
    let Some(key) = wanted.key.clone() else { return };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        load_at(&node, &key, &target, TARGET_LIMIT).await;
    });
}

/// Waits until a replica that this instance gives orders holds `key`; its version.
pub async fn load_here(
    node: &Node,
    key: &AdapterKey,
    replica: &BackendName,
    limit: Duration,
) -> Option<u64> {
    let mut changes = node.plan_changes.subscribe();
    {
        let now = node.now();
        let mut owned = node.owned();
        let owned = owned.get_mut(replica)?;
        if !owned.lease.is_held() {
            return None;
        }
        owned.plan.wish(now, key);
    }
    node.order_wake.notify_one();
    let held = async {
        loop {
            match node.owned().get(replica) {
                Some(owned) if owned.lease.is_held() => {
                    if let Some(version) = owned.plan.holds(key) {
                        return Some(version);
                    }
                }
                _ => return None,
            }
            changes.changed().await.ok()?;
        }
    };
    timeout(limit, held).await.ok().flatten()
}

async fn load_at(
    node: &Arc<Node>,
    key: &AdapterKey,
    target: &BackendName,
    limit: Duration,
) -> bool {
    let owner = node.peers().preferred(node.now(), target.as_str()).cloned();
    let version = match owner {
        Some(owner) if owner == node.settings.instance => load_here(node, key, target, limit).await,
        Some(owner) => exchange::ask_load(node, &owner, key, target, limit).await,
        None => None,
    };
    let Some(version) = version else { return false };
    if let Some(known) = node.replicas().get_mut(target) {
        known.on_loaded(key.clone(), version);
    }
    true
}

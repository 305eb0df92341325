//! Gets the adapter of a waiting request loaded at a replica.
//!
//! The instance that serves the request asks the owners of the candidate replicas; the owner of a
//! replica is the instance that gives it its orders. A candidate that holds the adapter is
//! preferred, then one that has a free slot, and last the first one queues the load. The owner
//! registers the demand with the replica's plan and replies once the adapter is loaded.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;
use tokio::time::timeout;

use super::exchange;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::EngineSpec;
use crate::decide::traffic::HomeState;
use crate::decide::traffic::Presence;
use crate::decide::traffic::RequestNeeds;
use crate::decide::traffic::preferred_homes;
use crate::names::BackendName;
use crate::names::Timestamp;
use crate::wire::relay::LoadMode;
use crate::wire::relay::LoadReply;
use crate::wire::relay::LoadRequest;

/// Timeout of a load that no request waits for.
const BACKGROUND_LOAD_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time within which a load must begin, unless it is queued.
const LOAD_START_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after no replica could load the adapter.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Whether an adapter was loaded for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// A replica holds it.
    Loaded,
    /// None does yet.
    NotLoaded,
    /// No home can load it, or is known to hold it, before this time has passed.
    NoOrdersFor {
        /// The time.
        wait: Duration,
        /// Whether it is known of each home that it doesn't hold it.
        all_known: bool,
    },
}

/// Has `key` loaded at one of `targets`, best first; returns when it is, or after `limit`.
///
/// A target that holds it already is used, else the best of the homes that were asked loads it.
/// If none has a free slot, the best one queues the load. `pick` is a hash that selects among
/// the adapter's homes, and `prompt_tokens` is the length of the request's prompt.
pub async fn load_at_any(
    node: &Arc<Node>,
    key: &AdapterKey,
    targets: &[BackendName],
    limit: Duration,
    pick: u64,
    prompt_tokens: u64,
) -> LoadOutcome {
    let tried = async {
        let homes = probe_homes(node, key, targets, limit, pick).await;
        if use_holder(node, key, targets, &homes, pick, prompt_tokens) {
            return LoadOutcome::Loaded;
        }
        if let Some(wait) = time_until_orders(&homes) {
            let all_known = homes.iter().all(|home| home.reply.orders_in_ms.is_some());
            return LoadOutcome::NoOrdersFor { wait, all_known };
        }
        let states: Vec<HomeState> = homes.iter().map(|home| home.state(node)).collect();
        let ranked: Vec<&Home> = preferred_homes(&states, prompt_tokens)
            .into_iter()
            .map(|index| &homes[index])
            .collect();
        for home in ranked.iter().filter(|home| !home.reply.is_full || home.reply.is_loading) {
            if load_at(node, key, home.target, limit, LoadMode::IfFree).await {
                return LoadOutcome::Loaded;
            }
        }
        if let Some(home) = ranked.first()
            && load_at(node, key, home.target, limit, LoadMode::Queue).await
        {
            return LoadOutcome::Loaded;
        }
        sleep(RETRY_DELAY).await;
        LoadOutcome::NotLoaded
    };
    timeout(limit, tried).await.unwrap_or_else(|_| {
        record(&LogEvent::LoadLate { adapter: &key.label() });
        LoadOutcome::NotLoaded
    })
}

/// Shortest time until the owner of a home may order loads; `None` if one may now, or if no owner
/// knows.
fn time_until_orders(homes: &[Home<'_>]) -> Option<Duration> {
    let waits = homes.iter().filter_map(|home| home.reply.orders_in_ms);
    waits.min().filter(|ms| *ms > 0).map(Duration::from_millis)
}

/// A home that was asked, and its owner's reply.
struct Home<'a> {
    target: &'a BackendName,
    reply: LoadReply,
}

impl Home<'_> {
    fn state(&self, node: &Node) -> HomeState {
        let replicas = node.replicas();
        let known = replicas.get(self.target);
        let slowness = known.map_or(1.0, |known| replicas.slowness(node.now(), known));
        self.reply.home_state(slowness)
    }
}

/// Asks the homes of the probe order how they are: the first one by itself, and all others at the
/// same time if that one doesn't serve the request now.
async fn probe_homes<'a>(
    node: &Arc<Node>,
    key: &AdapterKey,
    targets: &'a [BackendName],
    limit: Duration,
    pick: u64,
) -> Vec<Home<'a>> {
    let probe_order = node.homes().probe_order(node.now(), key, targets.len(), pick);
    let mut chosen = probe_order.into_iter().filter_map(|rank| targets.get(rank));
    let ask = async |target| Home {
        target,
        reply: ask_owner(node, key, target, limit, LoadMode::Probe).await,
    };
    let Some(first) = chosen.next() else { return Vec::new() };
    let mut homes = vec![ask(first).await];
    if !homes[0].state(node).serves_now() {
        homes.extend(join_all(chosen.map(ask)).await);
    }
    homes
}

/// Uses a home that holds the adapter; returns `false` if there is none.
///
/// If all of them are too busy, the one with the shortest expected delay is used, and a further
/// replica loads `key` for later requests.
fn use_holder(
    node: &Arc<Node>,
    key: &AdapterKey,
    targets: &[BackendName],
    homes: &[Home<'_>],
    pick: u64,
    prompt_tokens: u64,
) -> bool {
    let now = node.now();
    let holders = homes.iter().filter(|home| home.reply.version.is_some());
    let delay = |home: &&Home<'_>| home.state(node).expected_delay(prompt_tokens);
    let best = holders.min_by_key(|home| (home.reply.crowded, delay(home)));
    let Some((best, version)) = best.and_then(|home| Some((home, home.reply.version?))) else {
        return false;
    };
    if !best.reply.crowded {
        on_loaded(node, best.target, key, version);
        return true;
    }
    if let Some(known) = node.replicas().get_mut(best.target) {
        known.on_loaded_but_busy(now, key.clone(), version);
    }
    let further_rank = node.homes().widen(now, key, targets.len(), pick);
    let non_holder = homes.iter().find(|home| home.reply.version.is_none());
    let further = non_holder.map(|home| home.target).or(targets.get(further_rank));
    if let Some(further) = further {
        load_in_background(node, key.clone(), further.clone());
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
    if request.mode == LoadMode::Probe {
        return home_reply(node, request, None);
    }
    let version = wait_as_owner(node, request).await;
    home_reply(node, request, Some(version))
}

/// The state of a home that this instance owns; `waited_for` is the version that a wait for the
/// adapter has ended with.
fn home_reply(node: &Node, request: &LoadRequest, waited_for: Option<Option<u64>>) -> LoadReply {
    let now = node.now();
    let key = &request.key;
    let engine = engine_of(node, &request.replica);
    let newest = node.versions().newest(key);
    let (failure_score, slowness) = {
        let replicas = node.replicas();
        let known = replicas.get(&request.replica);
        let slowness = known.map_or(1.0, |known| replicas.slowness(now, known));
        (known.map_or(0.0, |known| known.failure_score(now)), slowness)
    };
    let mut homes = node.homes();
    homes.on_peer_width(now, key, request.width);
    let all = node.owned();
    let Some(owned) = all.get(&request.replica) else { return LoadReply::unavailable() };
    if !owned.lease.is_held() {
        // Nobody gives orders while the lease is waited for, so what the last report showed holds.
        let orders_in = owned.orders_in(now);
        return LoadReply {
            version: owned.plan.held_version(now, key),
            requests: owned.plan.requests(now),
            orders_in_ms: orders_in.and_then(|wait| u64::try_from(wait.as_millis()).ok()),
            ..LoadReply::unavailable()
        };
    }
    let presence = owned.plan.presence(now, key, newest);
    let held = match presence {
        Presence::Held(version) => Some(version),
        Presence::Loading | Presence::Copy | Presence::Absent => None,
    };
    LoadReply {
        version: waited_for.unwrap_or(held),
        crowded: owned.plan.needs_another_replica(now, key, homes.typical_requests() / slowness),
        requests: owned.plan.requests(now),
        width: homes.width(now, key),
        is_loading: presence == Presence::Loading,
        has_copy: presence == Presence::Copy,
        backlog_tokens: owned.turns.backlog_tokens(now),
        is_full: engine.is_none_or(|engine| owned.plan.is_full(now, &engine)),
        waiting_loads: u32::try_from(owned.plan.waiting_loads()).unwrap_or(u32::MAX),
        orders_in_ms: owned
            .lease
            .orders_in(now)
            .and_then(|wait| u64::try_from(wait.as_millis()).ok()),
        failure_score,
        event_gap_us: owned.pace.event_gap(now).and_then(|gap| u32::try_from(gap.as_micros()).ok()),
    }
}

/// Capacity of a replica's model engine; `None` if it isn't known to be one.
fn engine_of(node: &Node, replica: &BackendName) -> Option<EngineSpec> {
    let config = node.current_config()?;
    let service = node.replicas().get(replica).map(|known| known.entry.service.clone())?;
    config.service_or_former(&service)?.engine.clone()
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
        LoadMode::IfKnown | LoadMode::IfFree | LoadMode::Probe => LOAD_START_TIMEOUT,
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
    let engine = engine_of(node, replica)?;
    let mut all = node.owned();
    let owned = all.get_mut(replica).filter(|owned| owned.lease.is_held())?;
    let known = owned.plan.held_version(now, key).is_some() || owned.plan.is_loading(key);
    let is_refused = match mode {
        LoadMode::IfKnown | LoadMode::Probe => true,
        LoadMode::IfFree => owned.plan.is_full(now, &engine),
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
        None => LoadReply::unavailable(),
    };
    let now = node.now();
    let event_gap = reply.event_gap_us.map(|us| Duration::from_micros(u64::from(us)));
    {
        let mut replicas = node.replicas();
        replicas.on_owner_pace(now, target, event_gap);
        if let Some(known) = replicas.get_mut(target) {
            known.on_owner_backlog(now, reply.backlog_tokens);
        }
    }
    let mut homes = node.homes();
    homes.on_peer_width(now, key, reply.width);
    if reply.version.is_some() {
        homes.on_replica_requests(reply.requests);
    }
    reply
}

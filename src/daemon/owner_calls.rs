//! Calls of an owner to its engines: takeover, load and unload orders, reports.
//!
//! Each event of an engine goes through its [`EngineShard`]; the calls that it
//! brings about run in tasks of their own, and their results are the next
//! events. An order is sent only under a lease checked just before. If its end
//! is unknown, the engine is taken over again before anything else is sent.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use super::control;
use super::engine_shard::EngineCall;
use super::engine_shard::EngineShard;
use super::leases;
use crate::auth::wall_clock_now;
use crate::decide::engine::EngineInput;
use crate::decide::engine::EngineScheduler;
use crate::decide::ownership::GroupId;
use crate::decide::takeover::EngineQuery;
use crate::decide::takeover::FenceOutcome;
use crate::decide::takeover::OwnedAction;
use crate::decide::takeover::OwnedEngine;
use crate::decide::takeover::UnresolvedMessage;
use crate::decide::takeover::was_chosen_by;
use crate::edge::EngineFailure;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::AdapterRef;
use crate::names::BackendName;
use crate::names::FencingNumber;
use crate::names::Incarnation;
use crate::names::Timestamp;
use crate::telemetry::Counter;
use crate::telemetry::Hop;
use crate::telemetry::Timing;
use crate::wire::engine::EngineRefusal;
use crate::wire::engine::Order;
use crate::wire::engine::OrderRequest;
use crate::wire::listing::BackendRole;
use crate::wire::listing::ListedBackend;

/// Interval at which an owner renews its leases and ticks its engines.
pub const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait of a request while this instance acquires the engine's lease.
const LEASE_WAIT: Duration = Duration::from_millis(1500);
/// Interval between checks of a lease that is being acquired.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The shard of an engine that this instance owns.
///
/// # Errors
///
/// `NoBackend` if it isn't listed as an engine, `NotOwner` if this instance gets no lease in time.
pub async fn owned_shard(node: &Arc<Node>, name: &BackendName) -> Result<Arc<EngineShard>> {
    let engine = node.backends(|known| known.get(name).cloned()).ok_or_else(|| {
        Error::new(ErrorKind::NoBackend, format!("engine {:?} is not known", name.as_str()))
    })?;
    let group = GroupId::of(&engine).ok_or_else(|| {
        let detail = format!("backend server {:?} is not an engine", name.as_str());
        Error::new(ErrorKind::NoBackend, detail)
    })?;
    wait_for_lease(node, &engine, &group).await?;
    Ok(get_or_take_over(node, &engine, &group))
}

async fn wait_for_lease(node: &Arc<Node>, engine: &ListedBackend, group: &GroupId) -> Result<()> {
    let until = node.now() + LEASE_WAIT;
    loop {
        let now = node.now();
        let checked = node.leases.may_act(now, group);
        let preferred = node.owner_of(engine).as_ref() == Some(&node.settings.instance);
        if checked.is_ok() || !preferred || now >= until {
            return checked;
        }
        tokio::time::sleep(LEASE_POLL_INTERVAL).await;
    }
}

/// The shard of an engine; a new one begins its takeover.
fn get_or_take_over(node: &Arc<Node>, engine: &ListedBackend, group: &GroupId) -> Arc<EngineShard> {
    let make = || {
        let (slots, batch) = match engine.role {
            BackendRole::Engine { slots, batch, .. } => (slots as usize, batch as usize),
            BackendRole::Desk => (0, 0),
        };
        let scheduler = EngineScheduler::new(slots, batch);
        let max_message_delay = node.leases.timing().max_message_delay;
        let owned = OwnedEngine::new(scheduler, group.fencing, max_message_delay, node.incarnation);
        EngineShard::new(engine.name.clone(), engine.addr, group.clone(), owned)
    };
    let (shard, is_new) = node.engines.get_or_insert(&engine.name, make);
    if is_new {
        apply(node, &shard, |owned, now| owned.on_lease_acquired(now, wall_clock_now()));
    }
    shard
}

/// Begins the takeover of a group's engines after its lease was acquired.
pub fn on_lease_acquired(node: &Arc<Node>, group: &GroupId) {
    for shard in node.engines.all().into_iter().filter(|shard| &shard.group == group) {
        apply(node, &shard, |owned, now| owned.on_lease_acquired(now, wall_clock_now()));
    }
}

/// Stops sending to a group's engines after its lease has ended.
pub fn on_lease_lost(node: &Arc<Node>, group: &GroupId) {
    for shard in node.engines.all().into_iter().filter(|shard| &shard.group == group) {
        apply(node, &shard, OwnedEngine::on_lease_lost);
    }
}

/// As [`apply`], for an event of the engine's scheduler.
pub fn apply_input(node: &Arc<Node>, shard: &Arc<EngineShard>, input: EngineInput) {
    apply(node, shard, |owned, now| owned.on_input(now, input));
}

/// Applies one event and spawns the calls to the engine that it brings about.
pub fn apply(
    node: &Arc<Node>,
    shard: &Arc<EngineShard>,
    event: impl FnOnce(&mut OwnedEngine, Timestamp) -> Vec<OwnedAction>,
) {
    for call in shard.apply(node.now(), event) {
        let task = make_call(Arc::clone(node), Arc::clone(shard), call);
        // Boxed because the future is recursive: a call may bring about further calls.
        let task: std::pin::Pin<Box<dyn Future<Output = ()> + Send>> = Box::pin(task);
        tokio::spawn(task);
    }
}

async fn make_call(node: Arc<Node>, shard: Arc<EngineShard>, call: EngineCall) {
    match call {
        EngineCall::Query(EngineQuery::Running { call }) => {
            query_running(&node, &shard, call).await
        }
        EngineCall::Query(EngineQuery::Fence { call, number }) => {
            fence_engine(&node, &shard, call, number).await
        }
        EngineCall::Load(adapter, fencing) => load_adapter(&node, &shard, adapter, fencing).await,
        EngineCall::Unload(adapter, fencing) => {
            unload_adapter(&node, &shard, adapter, fencing).await
        }
    }
}

async fn query_running(node: &Arc<Node>, shard: &Arc<EngineShard>, call: u64) {
    match node.clients.engine.running(shard.addr).await {
        Ok(report) => {
            if shard.record_report(report.incarnation) {
                log::warn!("engine {} has restarted since its last report", shard.name);
                node.metrics.count(Counter::EngineRestarted);
            }
            if report.leaving {
                control::on_backend_leaving(node, &shard.name, Some(report.incarnation));
            }
            apply(node, shard, |owned, now| owned.on_report(now, call, &report));
        }
        Err(_) => {
            apply(node, shard, |owned, _| {
                owned.on_report_failed(call);
                Vec::new()
            });
            if shard.record_failed_report() {
                apply_input(node, shard, EngineInput::Unreachable);
            }
        }
    }
}

async fn fence_engine(
    node: &Arc<Node>,
    shard: &Arc<EngineShard>,
    call: u64,
    number: FencingNumber,
) {
    let outcome = match send_order(node, shard, Order::Fence, number).await {
        OrderOutcome::Done => FenceOutcome::Taken,
        OrderOutcome::Refused(EngineRefusal::OldFencing, highest) => {
            FenceOutcome::TooLow { highest }
        }
        _ => FenceOutcome::Unknown,
    };
    if outcome == FenceOutcome::Taken {
        log::info!("engine {} fenced with number {number}", shard.name);
    }
    apply(node, shard, |owned, now| owned.on_fence(now, call, outcome));
}

async fn load_adapter(
    node: &Arc<Node>,
    shard: &Arc<EngineShard>,
    adapter: AdapterRef,
    number: FencingNumber,
) {
    let began = node.now();
    // A load serves all requests that wait for the adapter, so no single trace is its parent.
    let span = node.tracer.start_span(Hop::AdapterLoad, None);
    span.set_attribute("engine", shard.name.as_str());
    span.set_attribute("adapter", adapter.to_string());
    let end = send_order(node, shard, Order::Load { adapter: adapter.clone() }, number).await;
    count_load(node, end, node.now().since(began));
    drop(span);
    let failed = matches!(end, OrderOutcome::NotRun | OrderOutcome::Refused(..));
    let must_retake = match end {
        OrderOutcome::Done | OrderOutcome::NotRun => false,
        OrderOutcome::Refused(refusal, _) => refusal != EngineRefusal::LoadFailed,
        OrderOutcome::NotSent | OrderOutcome::Unknown => true,
    };
    if failed || end == OrderOutcome::Done {
        let outcome = EngineInput::LoadEnded { adapter, loaded: end == OrderOutcome::Done };
        apply(node, shard, |owned, now| owned.on_order_ended(now, number, outcome));
    }
    if must_retake {
        apply(node, shard, |owned, now| owned.on_outcome_unknown(now, UnresolvedMessage::Order));
    }
}

fn count_load(node: &Node, end: OrderOutcome, took: Duration) {
    if end == OrderOutcome::NotSent {
        return;
    }
    node.metrics.count(Counter::LoadStarted);
    match end {
        OrderOutcome::Done => node.metrics.record_duration(Timing::Load, took),
        _ => node.metrics.count(Counter::LoadFailed),
    }
}

async fn unload_adapter(
    node: &Arc<Node>,
    shard: &Arc<EngineShard>,
    adapter: AdapterRef,
    number: FencingNumber,
) {
    let order = Order::UnloadIfIdle { adapter: adapter.clone() };
    let end = send_order(node, shard, order, number).await;
    if end == OrderOutcome::Done {
        node.metrics.count(Counter::Evicted);
    }
    let unloaded = match end {
        OrderOutcome::Done | OrderOutcome::Refused(EngineRefusal::NotLoaded, _) => true,
        OrderOutcome::Refused(EngineRefusal::Busy, _) | OrderOutcome::NotRun => false,
        OrderOutcome::Refused(..) | OrderOutcome::NotSent | OrderOutcome::Unknown => {
            apply(node, shard, |owned, now| {
                owned.on_outcome_unknown(now, UnresolvedMessage::Order)
            });
            return;
        }
    };
    let outcome = EngineInput::UnloadEnded { adapter, unloaded };
    apply(node, shard, |owned, now| owned.on_order_ended(now, number, outcome));
}

/// How an order ended, as far as the owner can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderOutcome {
    /// The engine confirmed it.
    Done,
    /// The engine refused it; with the highest fencing number that it has seen.
    Refused(EngineRefusal, FencingNumber),
    /// It provably wasn't carried out.
    NotRun,
    /// It wasn't sent, as the lease doesn't last long enough.
    NotSent,
    /// It may have been carried out.
    Unknown,
}

async fn send_order(
    node: &Arc<Node>,
    shard: &Arc<EngineShard>,
    order: Order,
    fencing: FencingNumber,
) -> OrderOutcome {
    let req = OrderRequest { order, fencing };
    if node.leases.may_act(node.now(), &shard.group).is_err() {
        return OrderOutcome::NotSent;
    }
    match node.clients.engine.order(shard.addr, &req).await {
        Ok(_) => OrderOutcome::Done,
        Err(failure) => {
            log::warn!("engine {}: order {:?} failed: {}", shard.name, req.order, failure.detail());
            on_engine_refusal(node, shard, &failure);
            match failure {
                EngineFailure::Refused(body) => OrderOutcome::Refused(body.refusal, body.fencing),
                EngineFailure::Call(call) if call.end.proves_not_run() => OrderOutcome::NotRun,
                EngineFailure::Call(_) => OrderOutcome::Unknown,
            }
        }
    }
}

/// Asks the engine for its report; `before` if that incarnation has ended or doesn't answer.
pub async fn incarnation_ended(
    node: &Node,
    shard: &EngineShard,
    before: Option<Incarnation>,
) -> Option<Incarnation> {
    match node.clients.engine.running(shard.addr).await {
        Ok(report) if Some(report.incarnation) == before => None,
        Ok(_) | Err(_) => before,
    }
}

/// Reports a foreign fence to the group's lease if that's why the engine refused.
pub fn on_engine_refusal(node: &Arc<Node>, shard: &EngineShard, failure: &EngineFailure) {
    let EngineFailure::Refused(body) = failure else { return };
    let old = body.refusal == EngineRefusal::OldFencing;
    if old && !was_chosen_by(body.fencing, node.incarnation) {
        leases::on_fenced(node, &shard.group);
    }
}

/// Loop that renews leases and ticks engines; never returns.
pub async fn watch(node: Arc<Node>) {
    let mut interval = tokio::time::interval(WATCH_INTERVAL);
    loop {
        interval.tick().await;
        leases::tick(&node);
        take_over_new_engines(&node);
        for shard in node.engines.all() {
            check_engine(&node, &shard);
        }
    }
}

/// Takes over engines that were listed after their group's lease was acquired.
fn take_over_new_engines(node: &Arc<Node>) {
    let engines: Vec<ListedBackend> =
        node.backends(|known| known.all_live_engines().into_iter().cloned().collect());
    for engine in engines {
        let Some(group) = GroupId::of(&engine) else { continue };
        let known = node.engines.get(&engine.name).is_some();
        if !known && node.leases.may_act(node.now(), &group).is_ok() {
            get_or_take_over(node, &engine, &group);
        }
    }
}

fn check_engine(node: &Arc<Node>, shard: &Arc<EngineShard>) {
    let listed = node.backends(|known| known.get(&shard.name).map(|engine| engine.addr));
    let leased = node.leases.may_act(node.now(), &shard.group).is_ok();
    if shard.is_idle() && (!leased || listed != Some(shard.addr)) {
        node.engines.remove(&shard.name);
        return;
    }
    if !leased {
        // Nothing can be sent without a lease, so queued requests are refused at once as not run.
        apply_input(node, shard, EngineInput::Unreachable);
    }
    apply(node, shard, OwnedEngine::on_tick);
}

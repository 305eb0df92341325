//! What an owner does with its engines: takes them over, gives orders, watches them.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use super::engine_shard::EngineShard;
use super::engine_shard::PendingOrder;
use crate::decide::engine::EngineCore;
use crate::decide::engine::EngineInput;
use crate::decide::engine::GuardInput;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::BackendName;
use crate::telemetry::Counter;
use crate::telemetry::Hop;
use crate::telemetry::Span;
use crate::telemetry::Timing;
use crate::wire::engine::Order;
use crate::wire::engine::OrderRequest;
use crate::wire::listing::BackendRole;
use crate::wire::listing::ListedBackend;

/// How often an owner looks at its engines.
pub const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// The shard of an engine that this instance owns; made at the first request.
///
/// # Errors
///
/// `NoBackend` if the engine isn't known, `NotOwner` if another instance owns it.
pub async fn owned_shard(node: &Arc<Node>, name: &BackendName) -> Result<Arc<EngineShard>> {
    let engine = node.backends(|known| known.get(name).cloned()).ok_or_else(|| {
        Error::new(ErrorKind::NoBackend, format!("engine {:?} is not known", name.as_str()))
    })?;
    if node.owner_of(&engine).as_ref() != Some(&node.settings.instance) {
        let detail = format!("another instance owns engine {:?}", name.as_str());
        return Err(Error::new(ErrorKind::NotOwner, detail));
    }
    if let Some(shard) = node.engines.get(name) {
        return Ok(shard);
    }
    let lock = node.engines.takeover_lock(name);
    let _taking_over = lock.lock().await;
    if let Some(shard) = node.engines.get(name) {
        return Ok(shard);
    }
    take_over(node, &engine).await
}

/// Raises the engine's fencing number and takes what is loaded from its direct answer.
async fn take_over(node: &Arc<Node>, engine: &ListedBackend) -> Result<Arc<EngineShard>> {
    let BackendRole::Engine { slots, batch, .. } = engine.role else {
        let detail = format!("backend server {:?} is not an engine", engine.name.as_str());
        return Err(Error::new(ErrorKind::NoBackend, detail));
    };
    let failed = |detail: String| {
        let detail = format!("engine {:?}: {detail}", engine.name.as_str());
        Error::new(ErrorKind::NoBackend, detail)
    };
    let client = &node.clients.engine;
    let report = client.running(engine.addr).await.map_err(|f| failed(f.detail()))?;
    let fencing = report.fencing.next();
    let order = OrderRequest { order: Order::Fence, fencing };
    client.order(engine.addr, &order).await.map_err(|f| failed(f.detail()))?;
    let core = EngineCore::new(slots as usize, batch as usize);
    let shard = EngineShard::new(engine.name.clone(), engine.addr, core);
    shard.set_fencing(fencing);
    shard.note_incarnation(report.incarnation);
    let found = report.loaded.into_iter().map(|loaded| loaded.adapter).collect();
    shard.apply(node.now(), EngineInput::Guard(GuardInput::Found(found)));
    log::info!("owner of engine {} with fencing number {fencing}", engine.name);
    node.metrics.count(Counter::LeaseGained);
    Ok(node.engines.insert(shard))
}

/// Takes one event and gives the orders that it brings about.
pub fn apply(node: &Arc<Node>, shard: &Arc<EngineShard>, input: EngineInput) {
    for order in shard.apply(node.now(), input) {
        tokio::spawn(give_order(Arc::clone(node), Arc::clone(shard), order));
    }
}

async fn give_order(node: Arc<Node>, shard: Arc<EngineShard>, pending: PendingOrder) {
    let order = match &pending {
        PendingOrder::Load(adapter) => Order::Load { adapter: adapter.clone() },
        PendingOrder::Unload(adapter) => Order::UnloadIfIdle { adapter: adapter.clone() },
    };
    let req = OrderRequest { order, fencing: shard.fencing() };
    let began = node.now();
    let span = load_span(&node, &shard, &pending);
    let done = node.clients.engine.order(shard.addr, &req).await;
    count_order(&node, &pending, done.is_ok(), node.now().since(began));
    drop(span);
    if let Err(failure) = &done {
        log::warn!("engine {}: {pending:?}: {}", shard.name, failure.detail());
    }
    let input = match pending {
        PendingOrder::Load(adapter) => EngineInput::LoadEnded { adapter, loaded: done.is_ok() },
        PendingOrder::Unload(adapter) => {
            EngineInput::UnloadEnded { adapter, unloaded: done.is_ok() }
        }
    };
    // Boxed because an order may bring about further orders.
    let next: std::pin::Pin<Box<dyn Future<Output = ()> + Send>> =
        Box::pin(async move { apply(&node, &shard, input) });
    next.await;
}

fn load_span(node: &Node, shard: &EngineShard, pending: &PendingOrder) -> Option<Span> {
    let PendingOrder::Load(adapter) = pending else { return None };
    // A load serves every request that waits for it, so it belongs to no single trace.
    let span = node.tracer.span(Hop::AdapterLoad, None);
    span.set("engine", shard.name.as_str());
    span.set("adapter", adapter.to_string());
    Some(span)
}

fn count_order(node: &Node, pending: &PendingOrder, done: bool, took: Duration) {
    match (pending, done) {
        (PendingOrder::Load(_), true) => {
            node.metrics.count(Counter::LoadStarted);
            node.metrics.time(Timing::Load, took);
        }
        (PendingOrder::Load(_), false) => {
            node.metrics.count(Counter::LoadStarted);
            node.metrics.count(Counter::LoadFailed);
        }
        (PendingOrder::Unload(_), true) => node.metrics.count(Counter::Evicted),
        (PendingOrder::Unload(_), false) => {}
    }
}

/// Watches the engines of this instance: late requests, restarts, lost ownership.
pub async fn watch(node: Arc<Node>) {
    let mut interval = tokio::time::interval(WATCH_INTERVAL);
    loop {
        interval.tick().await;
        for shard in node.engines.all() {
            apply(&node, &shard, EngineInput::Tick);
            tokio::spawn(look_at(Arc::clone(&node), shard));
        }
    }
}

async fn look_at(node: Arc<Node>, shard: Arc<EngineShard>) {
    let engine = node.backends(|known| known.get(&shard.name).cloned());
    let owned = engine
        .is_some_and(|engine| node.owner_of(&engine).as_ref() == Some(&node.settings.instance));
    if !owned && shard.is_idle() {
        node.engines.remove(&shard.name);
        node.metrics.count(Counter::LeaseLost);
        return;
    }
    match node.clients.engine.report(shard.addr).await {
        Ok(report) if shard.note_incarnation(report.incarnation) => {
            log::warn!("engine {} has restarted", shard.name);
            node.metrics.count(Counter::EngineRestarted);
            apply(&node, &shard, EngineInput::Restarted);
        }
        Ok(_) => {}
        Err(_) => {
            if shard.note_failed_report() {
                apply(&node, &shard, EngineInput::Unreachable);
            }
        }
    }
}

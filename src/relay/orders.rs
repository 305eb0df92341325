//! Control loop for the replicas that this instance owns.
//!
//! The owner of a replica is the instance that gives it its orders to load and unload adapters;
//! [`crate::decide::traffic`] ranks the live instances for each replica. The owner first acquires
//! the lease on the orders by watching the replica's reports. It then calls the replica for
//! reports and orders, one call at a time; each order carries the lease's fencing number. Once
//! another instance should be the owner, the replica is handed over to it.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::FencedOrder;
use super::OrderAnswer;
use super::boot_clock;
use super::exchange;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use super::permits;
use super::process_event::ProcessEvent;
use super::quotas;
use super::replica_call::REPLICA_CALL_TIMEOUT;
use super::replica_call::call_replica;
use super::replica_ownership::ReplicaOwnership;
use super::reset_guard::ResetGuard;
use crate::decide::traffic::EngineSpec;
use crate::decide::traffic::GivingUp;
use crate::decide::traffic::LeaseStep;
use crate::decide::traffic::Order;
use crate::decide::traffic::PromptTurns;
use crate::decide::traffic::Service;
use crate::names::BackendName;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::relay::Handover;

/// Longest interval between two ticks of the control loop.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two ticks above which this process counts as having been paused.
const MAX_PROCESS_PAUSE: Duration = Duration::from_millis(600);
/// Interval between reports while orders are pending, and after a refused order.
const PENDING_REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// Interval between reports while another instance may have a base model loaded, which takes long.
const MODEL_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Delay after a failed report.
const FAILED_REPORT_DELAY: Duration = Duration::from_millis(400);

/// Takes over a replica from another instance; refuses and returns `false` during a shutdown.
pub fn accept_handover(node: &Node, handover: Handover) -> bool {
    if node.is_draining() {
        return false;
    }
    let now = node.now();
    node.on_fence_seen(handover.fence);
    let fence = node.next_fence();
    let lease = node.settings.order_lease();
    let mut all = node.owned();
    let owned =
        all.entry(handover.replica.clone()).or_insert_with(|| ReplicaOwnership::new(now, lease));
    owned.taken_over_at = now;
    owned.started_ms = handover.started_ms;
    let recent_holders = handover.recent_holders.as_deref();
    let wait = node.holder_history().wait_after_handover(
        now,
        &handover.replica,
        &node.settings.instance,
        recent_holders,
    );
    owned.lease.on_handover(now, handover.started_ms, handover.orders, fence, wait);
    owned.plan.on_handover(now, handover.plan);
    record(&LogEvent::OrdersTakenOver {
        replica: handover.replica.as_str(),
        orders: handover.orders,
        fence,
        wait_ms: wait.as_millis(),
    });
    node.order_wake.notify_one();
    true
}

/// Runs the control loop until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut last_tick = boot_time();
    loop {
        tokio::select! {
            () = sleep(TICK_INTERVAL) => {}
            () = node.order_wake.notified() => {}
        }
        let now = boot_time();
        if now.saturating_sub(last_tick) > MAX_PROCESS_PAUSE {
            on_pause(&node, now.saturating_sub(last_tick));
        }
        last_tick = now;
        tick(&node, now);
    }
}

/// Time since boot; zero if it can't be read, so that no pause is seen.
fn boot_time() -> Duration {
    boot_clock::boot_time().unwrap_or_default()
}

/// Acquires every lease anew after a pause, since other instances may have taken over meanwhile.
fn on_pause(node: &Node, pause: Duration) {
    record(&ProcessEvent::Paused { pause_ms: pause.as_millis() });
    let now = node.now();
    node.peers().on_pause(now);
    node.permits.on_pause(now);
    quotas::on_pause(node);
    for owned in node.owned().values_mut() {
        owned.lease.on_uncertain();
    }
}

fn tick(node: &Arc<Node>, tick_time: Duration) {
    let now = node.now();
    let Some(config) = node.current_config() else { return };
    let has_peers = node.peers().sees_enough_peers(now);
    let may_own = has_peers && !node.is_draining();
    let candidates: Vec<(BackendName, Arc<Service>)> = node
        .replicas()
        .all()
        .filter(|replica| replica.accepts_orders())
        .filter_map(|replica| {
            let service = config.service_or_former(&replica.entry.service)?;
            service.engine.as_ref()?;
            Some((replica.entry.name.clone(), Arc::clone(service)))
        })
        .collect();
    node.owned().retain(|name, _| candidates.iter().any(|(known, _)| known == name));
    for (replica, service) in candidates {
        let Some(engine) = &service.engine else { continue };
        let preferred_owner = node.peers().preferred_owner(now, replica.as_str());
        if may_own && preferred_owner.as_ref() == Some(&node.settings.instance) {
            advance_ownership(node, &replica, engine, tick_time);
        } else {
            give_up_ownership(node, &replica, preferred_owner.filter(|_| has_peers));
        }
    }
}

/// Gives up the ownership of a replica and hands it over to `successor`, if there is one; may be
/// put off.
fn give_up_ownership(node: &Arc<Node>, replica: &BackendName, successor: Option<InstanceName>) {
    let now = node.now();
    let mut all = node.owned();
    let Some(owned) = all.get_mut(replica) else { return };
    let giving_up = GivingUp {
        lease: node.settings.order_lease(),
        owned_for: now.since(owned.taken_over_at),
        is_held: owned.lease.is_held(),
        has_successor: successor.is_some(),
        has_pending_call: owned.has_pending_call,
        is_draining: node.is_draining(),
    };
    if giving_up.is_put_off() {
        return;
    }
    let held = owned.lease.release();
    let plan = owned.plan.handover();
    all.remove(replica);
    drop(all);
    let (Some((started_ms, orders, fence)), Some(successor)) = (held, successor) else { return };
    let recent_holders = Some(node.holder_history().waits(now, replica));
    let replica = replica.clone();
    let handover = Handover { replica, started_ms, orders, fence, plan, recent_holders };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let taken = exchange::hand_over(&node, &successor, &handover).await;
        record(&LogEvent::OrdersHandedOver {
            replica: handover.replica.as_str(),
            heir: successor.as_str(),
            taken,
        });
    });
}

/// Takes the next step with a replica that this instance should own: asks for a report or gives an
/// order, unless a call to the replica is pending.
fn advance_ownership(
    node: &Arc<Node>,
    replica: &BackendName,
    engine: &EngineSpec,
    tick_time: Duration,
) {
    let now = node.now();
    if node.replicas().get(replica).is_some_and(|known| known.is_paused(now)) {
        return;
    }
    let mut all = node.owned();
    let lease = node.settings.order_lease();
    let owned = all.entry(replica.clone()).or_insert_with(|| ReplicaOwnership::new(now, lease));
    if owned.has_pending_call {
        return;
    }
    sync_own_uses(node, now, replica, owned);
    let lease_step = owned.lease.step(now, true);
    let order = match lease_step {
        LeaseStep::Hold => owned.plan.next_order(now, engine, &node.versions()),
        LeaseStep::Standby | LeaseStep::Wait | LeaseStep::AskReport => None,
    };
    let needs_report = match lease_step {
        LeaseStep::AskReport => true,
        LeaseStep::Hold => owned.plan.awaits_report(),
        LeaseStep::Standby | LeaseStep::Wait => false,
    };
    if order.is_none() && !(needs_report && now >= owned.next_report) {
        return;
    }
    if !permits::allows_control_call(node, replica) {
        return;
    }
    owned.has_pending_call = true;
    drop(all);
    let (node, replica) = (Arc::clone(node), replica.clone());
    tokio::spawn(async move {
        let _call_end = ResetGuard::new(|| {
            if let Some(owned) = node.owned().get_mut(&replica) {
                owned.has_pending_call = false;
            }
            node.order_wake.notify_one();
        });
        match order {
            Some(order) => give_order(&node, &replica, &order, tick_time).await,
            None => ask_report(&node, &replica).await,
        }
    });
}

/// Copies this instance's own adapter uses to the plan; the others repeat theirs in exchanges.
fn sync_own_uses(node: &Node, now: Timestamp, replica: &BackendName, owned: &mut ReplicaOwnership) {
    let replicas = node.replicas();
    let Some(known) = replicas.get(replica) else { return };
    let uses: Vec<_> = known.in_use().iter().map(|(key, count)| (key.clone(), *count)).collect();
    owned.plan.on_all_uses(now, &node.settings.instance, node.use_serial(), &uses);
}

async fn ask_report(node: &Node, replica: &BackendName) {
    let call = node.protocol.report_call(replica);
    let report = match call_replica(node, replica, call).await {
        Some(reply) if reply.status.is_success() => {
            match reply.read_body_within(REPLICA_CALL_TIMEOUT).await {
                Ok(body) => node.protocol.decode_report(&body).map_err(|e| e.to_string()),
                Err(failure) => Err(failure.detail),
            }
        }
        Some(reply) => Err(format!("status {}", reply.status)),
        None => Err("no answer".to_owned()),
    };
    let now = node.now();
    let rank = match &report {
        Ok(report) if report.models.is_empty() => node.peers().owner_rank(replica.as_str()),
        Ok(_) | Err(_) => 0,
    };
    let mut all = node.owned();
    let Some(owned) = all.get_mut(replica) else { return };
    let report = match report {
        Ok(report) => report,
        Err(reason) => {
            owned.next_report = now + FAILED_REPORT_DELAY;
            record(&LogEvent::ReplicaCallFailed { replica: replica.as_str(), detail: &reason });
            return;
        }
    };
    owned.next_report = now + PENDING_REPORT_INTERVAL;
    if owned.started_ms != report.started_ms {
        owned.plan.clear();
        owned.pace.clear();
        owned.prefixes.clear();
        owned.turns = PromptTurns::default();
        owned.started_ms = report.started_ms;
    }
    let was_held = owned.lease.is_held();
    let fence = if was_held { 0 } else { node.next_fence() };
    let activity = report.load_activity();
    owned.lease.set_rank(rank);
    owned.lease.on_report(now, report.started_ms, report.accepted_orders, activity, fence);
    if owned.lease.is_held() != was_held {
        record(&LogEvent::OrdersHeld {
            replica: replica.as_str(),
            held: !was_held,
            orders: report.accepted_orders,
        });
    }
    if report.is_busy {
        owned.plan.on_model_loading(now);
    }
    owned.plan.on_report(now, &report.models, &report.loading);
    let held = owned.plan.held_models();
    let is_held = owned.lease.is_held();
    if report.is_busy && !is_held {
        owned.next_report = now + MODEL_REPORT_INTERVAL;
    }
    drop(all);
    if is_held && let Some(known) = node.replicas().get_mut(replica) {
        known.on_owner_update(now, &held);
    }
    node.on_plan_changed();
}

async fn give_order(node: &Node, replica: &BackendName, order: &Order, tick_time: Duration) {
    let now = node.now();
    let numbers = node.owned().get(replica).and_then(|owned| owned.lease.fence_and_count(now));
    let Some((fence, expected)) = numbers else { return };
    if boot_time().saturating_sub(tick_time) > MAX_PROCESS_PAUSE {
        // The process was paused since the tick; another instance may have taken over.
        return;
    }
    let holder = node.settings.instance.as_str();
    let fenced = FencedOrder { order, replica, holder, fence, expected };
    let call = node.protocol.order_call(&fenced);
    node.holder_history().on_order(node.now(), replica, &node.settings.instance);
    let reply = call_replica(node, replica, call).await;
    node.holder_history().on_order(node.now(), replica, &node.settings.instance);
    let answer = reply.map(|reply| node.protocol.order_answer(reply.status));
    record(&LogEvent::OrderGiven {
        replica: replica.as_str(),
        order: &order.to_string(),
        fence,
        expected,
        answer: &format!("{answer:?}"),
    });
    on_order_answer(node, replica, order, answer);
    node.on_plan_changed();
}

fn on_order_answer(node: &Node, replica: &BackendName, order: &Order, answer: Option<OrderAnswer>) {
    let now = node.now();
    let mut all = node.owned();
    let Some(owned) = all.get_mut(replica) else { return };
    owned.next_report = now;
    let unloaded = match answer {
        Some(OrderAnswer::Accepted) => {
            on_accepted(now, owned, order, false);
            matches!(order, Order::Unload { .. })
        }
        Some(OrderAnswer::Done) => {
            on_accepted(now, owned, order, true);
            matches!(order, Order::Unload { .. })
        }
        Some(OrderAnswer::Conflict | OrderAnswer::Refused) => {
            owned.lease.on_conflict();
            owned.next_report = now + PENDING_REPORT_INTERVAL;
            false
        }
        Some(OrderAnswer::OtherInstance | OrderAnswer::FenceTooLow) | None => {
            owned.lease.on_uncertain();
            false
        }
    };
    if unloaded {
        owned.prefixes.forget(order.key());
    }
    drop(all);
    if unloaded && let Some(known) = node.replicas().get_mut(replica) {
        known.on_unloaded(order.key());
    }
}

fn on_accepted(now: Timestamp, owned: &mut ReplicaOwnership, order: &Order, done: bool) {
    let holds_already = done && matches!(order, Order::Load { .. });
    if holds_already || owned.plan.is_repeated_load(order) {
        owned.lease.on_confirmed(now);
    } else {
        owned.lease.on_accepted(now);
    }
    owned.plan.on_accepted(now, order, done);
}

//! Permits for replicas that name a limit: what [`SendPermits`] needs to know of this instance.
//!
//! [`SendPermits`]: crate::send_permits::SendPermits

use std::time::Duration;

use super::counting::counting_instance;
use super::counting::fleet_view;
use super::node::Node;
use super::replica_signals;
use crate::decide::send_limits::FleetView;
use crate::decide::send_limits::LimitNews;
use crate::decide::traffic::Receiver;
use crate::decide::traffic::Replica;
use crate::names::BackendName;
use crate::send_permits::SendPermit;
use crate::send_permits::SendTarget;
use crate::wire::send_permit::PermitReply;
use crate::wire::send_permit::PermitRequest;

/// Time by which a permit outlasts the request that it is for.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);
/// Most replicas whose limits one message tells.
const MAX_NEWS: usize = 64;

/// Gets a permit to send a request, which ends within `time_left`, to a replica; none is needed if
/// the replica names no limit.
///
/// # Errors
///
/// The time for which the replica gets nothing from this instance, if no permit is to be had.
pub async fn acquire(
    node: &Node,
    replica: &BackendName,
    time_left: Duration,
) -> Result<Option<SendPermit>, Duration> {
    let Some(target) = limited_target(node, replica, time_left + EXPIRY_MARGIN) else {
        return Ok(None);
    };
    let acquired = node.permits.acquire(&counting_instance(node, replica.as_str()), &target).await;
    node.metrics.on_permit(acquired.as_ref().ok().map(SendPermit::source));
    let now = node.now();
    if let Some(known) = node.replicas().get_mut(replica) {
        match &acquired {
            Ok(_) => known.limits.on_granted(now),
            Err(wait) => known.limits.on_denied(now, *wait),
        }
    }
    acquired.map(Some)
}

/// Answers another instance that asks for a permit.
pub fn answer(node: &Node, request: &PermitRequest) -> PermitReply {
    on_news(node, &request.limits, request.id.user.as_str());
    let known = node.replicas().get(&request.limits.replica).map(|known| known.limits.limits());
    let limits =
        LimitNews { limits: known.unwrap_or(request.limits.limits), ..request.limits.clone() };
    let target = SendTarget {
        limits,
        slots: request.slots,
        running: request.running,
        expires_in: Duration::from_millis(request.expires_ms),
        fleet: fleet_view(node),
    };
    node.permits.answer(request, &target)
}

/// Whether the owner of a replica may make a call of its control interface.
pub fn allows_control_call(node: &Node, replica: &BackendName) -> bool {
    let fleet = fleet_view(node);
    let replicas = node.replicas();
    let limited = replicas.get(replica).filter(|known| known.limits.needs_permit());
    limited.is_none_or(|known| {
        let target = target_of(node, known, fleet, Duration::ZERO);
        node.permits.allows_control_call(node.now(), &target)
    })
}

/// What another instance is to be told of replicas' limits: what changed lately, or all that are in
/// force if it has just started.
pub fn news(node: &Node, receiver: &Receiver) -> Vec<LimitNews> {
    let now = node.now();
    let replicas = node.replicas();
    let news = replicas.all().filter_map(|known| {
        let in_force = || {
            let limits = Some(known.limits.limits());
            limits.filter(|limits| receiver.needs_all_records && !limits.is_none())
        };
        let in_force = || in_force().map(|limits| (limits, known.limits.age(now)));
        let (limits, age) = known.limits.news(now).or_else(in_force)?;
        let (replica, started_ms) = (known.entry.name.clone(), known.entry.started_ms);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Some(LimitNews { replica, started_ms, limits, age_ms })
    });
    news.take(MAX_NEWS).collect()
}

/// Applies what another instance knows of a replica's limits.
pub fn on_news(node: &Node, news: &LimitNews, by: &str) {
    let now = node.now();
    let mut replicas = node.replicas();
    let known = replicas.get_mut(&news.replica);
    let Some(known) = known.filter(|known| known.entry.started_ms == news.started_ms) else {
        return;
    };
    let age = Duration::from_millis(news.age_ms);
    if news.limits.is_valid() && known.limits.on_news(now, news.limits, age) {
        replicas.on_limits_of_sibling(now, &news.replica, news.limits);
        drop(replicas);
        replica_signals::record_limits(&news.replica, news.limits, by);
    }
}

/// Drops the counters of replicas that are gone, and the permits of instances that are.
pub fn drop_unneeded(node: &Node) {
    let now = node.now();
    {
        let peers = node.peers();
        node.permits.retain_users(|user| !peers.is_gone(now, user));
    }
    let replicas = node.replicas();
    let is_limited = |known: &Replica| known.limits.needs_permit();
    node.permits.retain_replicas(|replica| replicas.get(replica).is_some_and(is_limited));
}

/// A replica that names a limit, for which a permit is asked now; `None` if it names none.
fn limited_target(node: &Node, replica: &BackendName, expires_in: Duration) -> Option<SendTarget> {
    let now = node.now();
    let fleet = fleet_view(node);
    let mut replicas = node.replicas();
    let known = replicas.get_mut(replica).filter(|known| known.limits.needs_permit())?;
    known.limits.on_ask(now);
    Some(target_of(node, known, fleet, expires_in))
}

fn target_of(node: &Node, known: &Replica, fleet: FleetView, expires_in: Duration) -> SendTarget {
    let age = known.limits.age(node.now());
    SendTarget {
        limits: LimitNews {
            replica: known.entry.name.clone(),
            started_ms: known.entry.started_ms,
            limits: known.limits.limits(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        },
        slots: known.entry.slots,
        running: known.own_workload.requests,
        expires_in,
        fleet,
    }
}

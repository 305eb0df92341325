//! What a replica says about itself in any of its answers: that it is leaving, that it wants a
//! pause, and which limits it names for all instances together.

use super::ResponseHead;
use super::fleet_event::FleetEvent;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use crate::decide::send_limits::NamedLimits;
use crate::decide::traffic::RetryAfter;
use crate::names::BackendName;
use crate::names::Timestamp;

/// Applies the signals in an answer of the replica that was started at `started_ms`, to a request
/// that was sent at `sent_at`.
pub fn on_response(
    node: &Node,
    replica: &BackendName,
    started_ms: u64,
    sent_at: Timestamp,
    head: &ResponseHead,
) {
    if head.replica.as_ref().is_some_and(|responding| responding != replica) {
        return;
    }
    let now = node.now();
    if head.is_leaving && node.replicas().on_leaving(now, replica, started_ms) {
        let by = node.settings.instance.as_str();
        record(&LogEvent::ReplicaLeaving { replica: replica.as_str(), by });
        node.exchange_wake.notify_one();
    }
    on_pause(node, replica, started_ms, head.retry_after);
    on_limits(node, replica, started_ms, sent_at, head.limits);
}

fn on_pause(node: &Node, replica: &BackendName, started_ms: u64, wanted: RetryAfter) {
    let now = node.now();
    let mut replicas = node.replicas();
    let known = replicas.get_mut(replica).filter(|known| known.entry.started_ms == started_ms);
    let Some(known) = known else { return };
    if wanted == RetryAfter::Absent {
        known.pause.on_answered(now);
        return;
    }
    let is_invalid = known.pause.on_refused(now, wanted);
    let pause_ms = known.pause.left(now).as_millis();
    drop(replicas);
    let replica = replica.as_str();
    if is_invalid {
        record(&LogEvent::ReplicaPauseInvalid { replica });
    }
    if pause_ms > 0 {
        record(&LogEvent::ReplicaPaused { replica, pause_ms });
    }
}

fn on_limits(
    node: &Node,
    replica: &BackendName,
    started_ms: u64,
    sent_at: Timestamp,
    named: NamedLimits,
) {
    let now = node.now();
    let mut replicas = node.replicas();
    let known = replicas.get_mut(replica).filter(|known| known.entry.started_ms == started_ms);
    let Some(known) = known else { return };
    if known.limits.on_response(now, sent_at, named) {
        replicas.on_limits_of_sibling(now, replica, named);
        drop(replicas);
        record_limits(replica, named, node.settings.instance.as_str());
        node.exchange_wake.notify_one();
    }
}

/// Logs a change of a replica's limits, of which the instance `by` heard.
pub fn record_limits(replica: &BackendName, named: NamedLimits, by: &str) {
    let NamedLimits { rate, max_rejections } = named;
    let replica = replica.as_str();
    record(&FleetEvent::ReplicaLimits { replica, rate, max_rejections, by });
}

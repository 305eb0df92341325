//! What a replica says about itself in any of its answers: that it is leaving, and that it wants a
//! pause.

use super::ResponseHead;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use crate::decide::traffic::RetryAfter;
use crate::names::BackendName;

/// Applies the signals in an answer of the replica that was started at `started_ms`.
pub fn on_response(node: &Node, replica: &BackendName, started_ms: u64, head: &ResponseHead) {
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

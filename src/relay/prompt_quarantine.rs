//! Quarantine of prompt parts that crash replicas: feeds [`PromptGuard`] and logs its decisions.
//!
//! [`PromptGuard`]: crate::decide::traffic::PromptGuard

use std::time::Duration;

use super::forwarded_request::ForwardedRequest;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use crate::decide::traffic::CrashEvidence;
use crate::decide::traffic::PromptPart;
use crate::decide::traffic::QuarantineChange;
use crate::decide::traffic::SoundPart;
use crate::names::BackendName;
use crate::names::Timestamp;

/// Least time after which a caller is told to come back while another instance probes a part.
const PROBE_WAIT: Duration = Duration::from_secs(5);

/// What a quarantine means for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineCheck {
    /// No part of its prompt is quarantined.
    Free,
    /// It may be sent, once, to find out whether a part still crashes replicas.
    Probe,
    /// It must not be sent before this time has passed.
    Refused(Duration),
}

/// Checks the shared parts of a request's prompt.
pub fn check(node: &Node, now: Timestamp, id: &str, parts: &[PromptPart]) -> QuarantineCheck {
    let Some(quarantine) = node.prompt_guard().quarantine(now, parts) else {
        return QuarantineCheck::Free;
    };
    let part = format!("{:x}", quarantine.part);
    let key = format!("prompt part {part}");
    let may_probe = node.peers().is_among_first(now, &key, quarantine.probers);
    if may_probe && node.prompt_guard().try_probe(now, quarantine.part) {
        record(&LogEvent::PromptPartProbed { id, part: &part });
        return QuarantineCheck::Probe;
    }
    let left = quarantine.left.max(PROBE_WAIT);
    record(&LogEvent::RequestQuarantined { id, part: &part, left_ms: left.as_millis() });
    QuarantineCheck::Refused(left)
}

/// Records that a replica crashed while `request` was there; `begun` is whether its response had
/// just begun.
pub fn on_crash(request: &ForwardedRequest, replica: &BackendName, started_ms: u64, begun: bool) {
    let node = &request.node;
    let parts = request.head.needs.shared_parts();
    if parts.is_empty() {
        return;
    }
    let changes = node.prompt_guard().on_crash(node.now(), replica, started_ms, parts, begun);
    record_changes(&changes);
    node.exchange_wake.notify_one();
}

/// Records that a replica has outlived the beginning of its response to `request`.
pub fn on_sound(request: &ForwardedRequest) {
    let node = &request.node;
    let parts = request.head.needs.shared_parts();
    let changes = node.prompt_guard().on_sound(node.now(), parts);
    on_changes(node, &changes);
}

/// Adds what a peer knows.
pub fn on_peer_evidence(node: &Node, evidence: &[CrashEvidence], sound: &[SoundPart]) {
    let changes = node.prompt_guard().on_peer_evidence(node.now(), evidence, sound);
    on_changes(node, &changes);
}

fn on_changes(node: &Node, changes: &[QuarantineChange]) {
    record_changes(changes);
    if !changes.is_empty() {
        node.exchange_wake.notify_one();
    }
}

fn record_changes(changes: &[QuarantineChange]) {
    for QuarantineChange { part, quarantined, score } in changes {
        let part = format!("{part:x}");
        let (quarantined, score) = (*quarantined, *score);
        record(&LogEvent::PromptPartQuarantine { part: &part, quarantined, score });
    }
}

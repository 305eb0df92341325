//! Changes of the published state that instances take from each other.
//!
//! An instance that hears of changes which it lacks asks one peer at a time for them. The reply refers to
//! large values, which are then transferred in pieces; what is heard of meanwhile comes after that.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::PublishedTopic;
use super::exchange::PEER_CALL_TIMEOUT;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use super::operator_items;
use super::published;
use super::reset_guard::ResetGuard;
use super::store_event::StoreEvent;
use crate::decide::traffic::PublishedEvent;
use crate::decide::traffic::ViewChanges;
use crate::decide::traffic::ViewDigest;
use crate::decide::transfer::ValueReference;
use crate::edge::call_peer_in_progress;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::transfer::TransferFailure;
use crate::transfer::TransferTry;
use crate::transfer::TryEnd;
use crate::wire::relay::PUBLISHED_PATH;
use crate::wire::relay::PublishedPart;
use crate::wire::relay::PublishedRequest;

/// Time for which a version must be missing to be asked for by itself; the changes of the published
/// state bring it sooner unless the store was restored.
const CONFIG_FETCH_DELAY: Duration = Duration::from_millis(600);

/// Compares a peer's view of a topic with that of this instance, and asks for what it lacks.
pub fn on_peer_digest(
    node: &Arc<Node>,
    topic: PublishedTopic,
    digest: &ViewDigest,
    is_reader: bool,
    addr: SocketAddr,
) {
    let now = node.now();
    let mut view = node.view(topic);
    let lacked_before = view.lacks_for(now).is_some();
    let is_to_fetch = view.on_peer_digest(now, digest, is_reader);
    let lacks = view.lacks_for(now).is_some();
    let as_of = view.as_of();
    drop(view);
    if topic == PublishedTopic::Operator && lacks && !lacked_before {
        let (topic, newest, by) = (topic.name(), digest.newest, &addr.to_string());
        record(&StoreEvent::ChangesLacked { topic, newest, as_of, by });
    }
    if topic == PublishedTopic::Operator && lacks {
        node.transfers.add_source(addr);
    }
    if is_to_fetch && node.fetch_turn(topic).take(digest.newest, addr) {
        tokio::spawn(fetch(Arc::clone(node), topic, addr));
    }
}

/// Asks a peer for the changes of a topic that this instance lacks, and others that had some
/// meanwhile.
async fn fetch(node: Arc<Node>, topic: PublishedTopic, addr: SocketAddr) {
    let part = match topic {
        PublishedTopic::Operator => PublishedPart::Operator,
        PublishedTopic::Replicas => PublishedPart::Replicas,
    };
    let unfinished = ResetGuard::new(|| node.fetch_turn(topic).on_task_lost());
    let mut next = Some(addr);
    while let Some(addr) = next {
        let (after, era) = {
            let view = node.view(topic);
            (view.as_of(), view.era())
        };
        let overtaken_by = match ask(&node, part, after, era, addr).await {
            Ok(changes) => {
                published::apply_peer_changes(&node, topic, changes, addr);
                None
            }
            Err(AskFailure::Overtaken(by)) => Some(by),
            Err(AskFailure::Failed(e)) => {
                let (what, subject) = ("published state", addr.to_string());
                record(&LogEvent::PeerFailed { what, subject: &subject, detail: &e.to_string() });
                None
            }
        };
        next = overtaken_by.or_else(|| {
            let held = node.view(topic).as_of().unwrap_or_default();
            node.fetch_turn(topic).end(held)
        });
    }
    unfinished.disarm();
}

/// Why changes that a peer has weren't taken.
enum AskFailure {
    /// A large value among them isn't sent any more; this instance has a newer one.
    Overtaken(SocketAddr),
    /// A call failed, or nobody sends a large value.
    Failed(Error),
}

impl From<Error> for AskFailure {
    fn from(error: Error) -> Self {
        Self::Failed(error)
    }
}

/// Asks a peer for a part of the published state, with the large values that its reply refers to.
async fn ask(
    node: &Node,
    part: PublishedPart,
    after: Option<u64>,
    era: u64,
    addr: SocketAddr,
) -> Result<ViewChanges, AskFailure> {
    let base = node.transfers.newest();
    let request = PublishedRequest { part, after, era, takes_references: true, base };
    let mut changes: ViewChanges =
        call_peer_in_progress(&node.http, addr, PUBLISHED_PATH, &request, PEER_CALL_TIMEOUT)
            .await?;
    let asked_at = node.now();
    for reference in std::mem::take(&mut changes.references) {
        insert_value(node, &mut changes, reference, addr).await?;
    }
    // The ages are as of the reply.
    let elapsed_ms = u64::try_from(node.now().since(asked_at).as_millis()).unwrap_or(u64::MAX);
    let later = |ms: u64| ms.saturating_add(elapsed_ms);
    changes.age_ms = changes.age_ms.map(later);
    changes.outage_ended_ms = changes.outage_ended_ms.map(later);
    Ok(changes)
}

/// Puts the value that `reference` stands for into the changes.
async fn insert_value(
    node: &Node,
    changes: &mut ViewChanges,
    reference: ValueReference,
    addr: SocketAddr,
) -> Result<(), AskFailure> {
    let (key, value) = (reference.key.clone(), reference.value.id.to_string());
    let busy = AtomicU32::new(0);
    let on_try = |attempt: &TransferTry| {
        node.metrics.on_value_asked(attempt.bytes, matches!(attempt.end, TryEnd::Failed(_)));
        if attempt.end == TryEnd::Busy {
            busy.fetch_add(1, Ordering::Relaxed);
            return;
        }
        record(&StoreEvent::ValueAsked {
            value: &value,
            size: attempt.value.size,
            from: &attempt.from.to_string(),
            bytes: attempt.bytes,
            took_ms: attempt.took.as_millis(),
            end: &attempt.end.to_string(),
        });
    };
    let received = match node.transfers.fetch(reference, addr, &on_try).await {
        Ok(received) => received,
        Err(TransferFailure { next: Some(by), .. }) => return Err(AskFailure::Overtaken(by)),
        Err(e) => {
            let detail = e.to_string();
            record(&StoreEvent::ValueLost { value: &value, key: &key, detail: &detail });
            return Err(Error::new(ErrorKind::PeerUnreachable, detail).into());
        }
    };
    record(&StoreEvent::ValueReceived {
        value: &value,
        key: &key,
        size: received.bytes.len(),
        encoded: received.encoded_bytes,
        is_difference: received.is_difference,
        busy: busy.load(Ordering::Relaxed),
        took_ms: received.took.as_millis(),
    });
    let item = changes.events.iter_mut().find_map(|event| match event {
        PublishedEvent::Written(item) if item.key == key => Some(item),
        PublishedEvent::Written(_) | PublishedEvent::Removed { .. } => None,
    });
    let missing = || Error::new(ErrorKind::Malformed, format!("no item {key} for its reference"));
    item.ok_or_else(missing)?.value = received.bytes;
    Ok(())
}

/// The changes of a topic that a peer asks for.
pub fn changes_for(node: &Node, request: PublishedRequest) -> ViewChanges {
    let topic = match request.part {
        PublishedPart::Operator => PublishedTopic::Operator,
        PublishedPart::Replicas => PublishedTopic::Replicas,
        PublishedPart::Config => return with_references(node, config_in_effect(node), request),
    };
    let now = node.now();
    let changes = node.view(topic).changes_after(now, request.era, request.after);
    let after_outage = published::is_after_outage(now, node.view(topic).outage_ended());
    with_references(node, ViewChanges { after_outage, ..changes }, request)
}

/// Replaces large values by references for a receiver that takes them.
fn with_references(
    node: &Node,
    mut changes: ViewChanges,
    request: PublishedRequest,
) -> ViewChanges {
    if !request.takes_references {
        return changes;
    }
    for event in &mut changes.events {
        let PublishedEvent::Written(item) = event else { continue };
        let reference = node.transfers.reference(&item.key, &item.value, request.base);
        if let Some(reference) = reference {
            changes.references.push(reference);
            item.value.clear();
        }
    }
    changes
}

/// Asks a peer for its configuration in effect if it has named a higher version than this
/// instance's for a while: a store that was restored doesn't have it.
pub async fn fetch_missing_config(node: Arc<Node>, addr: SocketAddr) {
    let is_missing = |time| time >= CONFIG_FETCH_DELAY;
    if !node.freshness.missing_for().is_some_and(is_missing) || node.transfers.is_receiving() {
        return;
    }
    match ask(&node, PublishedPart::Config, None, 0, addr).await {
        Ok(changes) => {
            for event in &changes.events {
                if let PublishedEvent::Written(item) = event {
                    node.transfers.hold(&item.value);
                    operator_items::take_config(&node, item, Some(addr));
                }
            }
        }
        Err(AskFailure::Overtaken(_)) => {}
        Err(AskFailure::Failed(e)) => {
            let (what, subject) = ("configuration", addr.to_string());
            record(&LogEvent::PeerFailed { what, subject: &subject, detail: &e.to_string() });
        }
    }
}

fn config_in_effect(node: &Node) -> ViewChanges {
    let item = node.config_item.borrow().clone();
    let events = item.into_iter().map(PublishedEvent::Written).collect();
    ViewChanges { events, ..ViewChanges::default() }
}

//! Follows the published state: configuration, declared versions, replicas.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use super::DecodeFault;
use super::PublishedEvent;
use super::PublishedItem;
use super::PublishedPage;
use super::Topic;
use super::event::Event;
use super::event::record;
use super::node::Node;
use crate::edge::HttpCall;
use crate::names::Timestamp;
use crate::wire::relay::PublishedAnswer;

/// Longest time that one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_millis(2000);
/// Time on top of a watch's wait after which it counts as lost.
const WATCH_MARGIN: Duration = Duration::from_millis(500);
/// Longest wait for a page of a listing.
const LIST_LIMIT: Duration = Duration::from_millis(1200);
/// Pause after a failed call.
const FAILED_PAUSE: Duration = Duration::from_millis(300);
/// Pause after changes of replicas, so that one watch brings several.
const REPLICA_PAUSE: Duration = Duration::from_millis(250);
/// Pause on top of it for each instance that reads them too.
const REPLICA_PAUSE_PER_INSTANCE: Duration = Duration::from_millis(10);
/// Longest such pause; a leaving replica must be known well within its notice.
const MAX_REPLICA_PAUSE: Duration = Duration::from_millis(1000);
/// Time after a failed call for which lapsed entries may come back.
const OUTAGE_MEMORY: Duration = Duration::from_millis(3500);
/// Time without a successful call after which peers are asked instead.
const PEERS_AFTER: Duration = Duration::from_millis(2700);

/// Follows one topic until the process ends.
pub async fn follow(node: Arc<Node>, topic: Topic) {
    loop {
        let as_of = node.topic(topic).as_of;
        let step = match as_of {
            None => list(&node, topic).await,
            Some(as_of) => watch(&node, topic, as_of).await,
        };
        let now = node.now();
        match step {
            Ok(changed) => {
                on_success(&node, topic, now);
                if changed && topic == Topic::Replicas {
                    sleep(replica_pause(&node)).await;
                }
            }
            Err(reason) => {
                on_failure(&node, topic, now, &reason);
                sleep(FAILED_PAUSE).await;
            }
        }
    }
}

/// The store's calls are shared by all instances, so each reads less often in a larger fleet.
fn replica_pause(node: &Node) -> Duration {
    let instances = u32::try_from(node.peers().remembered_count()).unwrap_or(u32::MAX);
    let pause = REPLICA_PAUSE + REPLICA_PAUSE_PER_INSTANCE.saturating_mul(instances);
    pause.min(MAX_REPLICA_PAUSE)
}

/// Drops lapsed replicas and unused connections until the process ends.
pub async fn tidy(node: Arc<Node>) {
    loop {
        sleep(REPLICA_PAUSE).await;
        let now = node.now();
        node.replicas().drop_lapsed(now);
        node.upstream.close_expired(now);
    }
}

/// Whether a peer has changes that this instance can't read itself.
pub fn is_behind(node: &Node, topic: Topic, revision: u64) -> bool {
    let now = node.now();
    let state = node.topic(topic);
    let out_of_touch = match (state.succeeded, state.failed) {
        (None, _) => true,
        (Some(succeeded), failed) => {
            failed.is_some_and(|failed| failed > succeeded) || now.since(succeeded) >= PEERS_AFTER
        }
    };
    out_of_touch && revision > state.newest
}

/// Takes what a peer has of a topic.
pub fn take_from_peer(node: &Node, topic: Topic, answer: PublishedAnswer) {
    let Some(as_of) = answer.as_of else { return };
    let items = answer.items.into_iter().map(|(key, value, rev)| PublishedItem { key, value, rev });
    record(&Event::TakenFromPeer { topic: topic.name(), as_of });
    take_listing(node, topic, items.collect(), as_of);
}

async fn list(node: &Node, topic: Topic) -> Result<bool, String> {
    let mut items: Vec<PublishedItem> = Vec::new();
    let mut as_of = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let path = node.protocol.list_path(topic, after.as_deref());
        let (status, body) = get(node, path, LIST_LIMIT).await?;
        if status != 200 {
            return Err(format!("listing answered {status}"));
        }
        let page = node.protocol.read_list(&body).map_err(|e| e.to_string())?;
        as_of.get_or_insert(page.as_of);
        let more = page.more && !page.events.is_empty();
        items.extend(page.events.into_iter().filter_map(|event| match event {
            PublishedEvent::Written(item) => Some(item),
            PublishedEvent::Removed { .. } => None,
        }));
        if !more {
            break;
        }
    }
    take_listing(node, topic, items, as_of.unwrap_or_default());
    Ok(false)
}

async fn watch(node: &Node, topic: Topic, after: u64) -> Result<bool, String> {
    let path = node.protocol.watch_path(topic, after, WATCH_WAIT);
    let (status, body) = get(node, path, WATCH_WAIT + WATCH_MARGIN).await?;
    if let Ok(code) = hyper::StatusCode::from_u16(status)
        && node.protocol.is_history_lost(code)
    {
        record(&Event::HistoryLost { topic: topic.name(), after });
        node.topic(topic).as_of = None;
        return Ok(false);
    }
    if status != 200 {
        return Err(format!("watch answered {status}"));
    }
    let page = node.protocol.read_watch(&body).map_err(|e| e.to_string())?;
    Ok(take_page(node, topic, &page))
}

async fn get(node: &Node, path: String, limit: Duration) -> Result<(u16, bytes::Bytes), String> {
    let call = HttpCall::get(node.settings.published, path);
    let answer = async {
        let reply = node.http.send(call, limit).await.map_err(|f| f.detail)?;
        let status = reply.status.as_u16();
        let body = reply.whole().await.map_err(|f| f.detail)?;
        Ok((status, body))
    };
    timeout(limit, answer).await.unwrap_or_else(|_| Err("no whole answer in time".to_owned()))
}

fn take_listing(node: &Node, topic: Topic, items: Vec<PublishedItem>, as_of: u64) {
    let events = node.topic(topic).changes_to(items, as_of);
    apply(node, topic, &events);
    let mut state = node.topic(topic);
    state.as_of = Some(state.as_of.unwrap_or_default().max(as_of));
}

fn take_page(node: &Node, topic: Topic, page: &PublishedPage) -> bool {
    apply(node, topic, &page.events);
    let mut state = node.topic(topic);
    if state.as_of.is_some_and(|as_of| page.as_of > as_of) {
        state.as_of = Some(page.as_of);
    }
    !page.events.is_empty()
}

fn apply(node: &Node, topic: Topic, events: &[PublishedEvent]) {
    for event in events {
        if !node.topic(topic).take(event) {
            continue;
        }
        match topic {
            Topic::Operator => apply_operator(node, event),
            Topic::Replicas => apply_replica(node, event),
        }
    }
}

fn apply_operator(node: &Node, event: &PublishedEvent) {
    let PublishedEvent::Written(item) = event else { return };
    match node.protocol.read_config(item) {
        Ok(Some(config)) => {
            let version = config.version;
            let current = node.current_config().map_or(0, |current| current.version);
            if version > current || node.config.borrow().is_none() {
                record(&Event::ConfigTaken { version, before: current, rev: item.rev });
                node.config.send_replace(Some(Arc::new(config)));
            }
        }
        Ok(None) => {}
        Err(fault) => undecodable(item, &fault),
    }
    match node.protocol.read_version(item) {
        Ok(Some((key, version))) => {
            let now = node.now();
            record(&Event::VersionDeclared { adapter: &key.rank_text(), version });
            node.versions().on_declared(now, key, version);
            node.order_wake.notify_one();
        }
        Ok(None) => {}
        Err(fault) => undecodable(item, &fault),
    }
}

fn apply_replica(node: &Node, event: &PublishedEvent) {
    let now = node.now();
    match event {
        PublishedEvent::Written(item) => match node.protocol.read_replica(item) {
            Ok(entry) => {
                let (name, state) = (entry.name.clone(), entry.state);
                if node.replicas().on_entry(now, entry) {
                    let state = format!("{state:?}");
                    let replica = name.as_str();
                    record(&Event::ReplicaKnown { replica, state: &state, rev: item.rev });
                }
            }
            Err(fault) => undecodable(item, &fault),
        },
        PublishedEvent::Removed { key, .. } => {
            let Some(name) = node.protocol.replica_of_key(key) else { return };
            let failed = node.topic(Topic::Replicas).failed;
            let after_outage = failed.is_some_and(|at| now.since(at) < OUTAGE_MEMORY);
            record(&Event::ReplicaRemoved { replica: name.as_str(), after_outage });
            node.replicas().on_removed(now, &name, after_outage);
        }
    }
}

fn undecodable(item: &PublishedItem, fault: &DecodeFault) {
    record(&Event::Undecodable { what: &item.key, detail: &fault.to_string() });
}

fn on_success(node: &Node, topic: Topic, now: Timestamp) {
    let mut state = node.topic(topic);
    if state.failed > state.succeeded {
        record(&Event::PublishedRegained { topic: topic.name() });
    }
    state.succeeded = Some(now);
}

fn on_failure(node: &Node, topic: Topic, now: Timestamp, reason: &str) {
    let mut state = node.topic(topic);
    if state.failed <= state.succeeded {
        record(&Event::PublishedLost { topic: topic.name(), detail: reason });
    }
    state.failed = Some(now);
}

//! Keeps a view of the published state: configuration, declared adapter versions, replicas.
//!
//! A few instances read the published state from its store: they list it once and then watch it
//! by long polls. The others take its changes from them in exchanges. An instance reads for
//! itself if its view is incomplete or out of date.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::OddItem;
use super::PublishedPage;
use super::PublishedTopic;
use super::listing;
use super::listing::Listing;
use super::listing::ListingFault;
use super::listing::written_item;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use super::operator_items;
use super::start_step::StartStep;
use super::store_call;
use super::store_call::StoreResponse;
use super::store_event::PublishedSource;
use super::store_event::StoreEvent;
use crate::decide::reads::ReadLine;
use crate::decide::rendezvous;
use crate::decide::traffic::EraCheck;
use crate::decide::traffic::ListingFailure;
use crate::decide::traffic::ListingPlan;
use crate::decide::traffic::ListingWay;
use crate::decide::traffic::PublishedEvent;
use crate::decide::traffic::ViewChanges;
use crate::decide::transfer::NextRead;
use crate::decide::transfer::ReadPace;
use crate::names::Timestamp;

/// Longest time for which one long poll waits for a change.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Wait of the poll by which a view becomes current, as after the first listing, which may be old.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1);
/// Longest time for which a poll of the operator's items waits if callers need API keys: what it
/// proves counts from when it was sent, and is twice that old when the next one returns.
const KEYED_WATCH_WAIT: Duration = Duration::from_millis(500);
/// Time on top of that wait after which a long poll counts as failed.
const WATCH_MARGIN: Duration = Duration::from_millis(500);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay after changes of replicas, so that one long poll returns several; also the interval at
/// which expired ones are dropped.
const REPLICA_BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which an instance that doesn't read a topic checks whether it has to.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the end of an outage of the published state within which a removed entry may have
/// expired and may come back.
const OUTAGE_MEMORY_TIME: Duration = Duration::from_millis(2000);
/// Time for which changes that a peer has may be lacking before they are read from the store.
const LACK_READ_AFTER: Duration = Duration::from_millis(1000);
/// Longest delay before everything is listed anew, by which instances spread their calls.
const MAX_RELIST_DELAY_MS: u64 = 250;

/// Reads one topic, whenever this instance has to, until the process ends.
pub async fn follow(node: Arc<Node>, topic: PublishedTopic) {
    let mut pace = ReadPace::default();
    let mut plan = ListingPlan::new(node.protocol.list_part_path(topic).is_some());
    loop {
        if !must_read(&node, topic) {
            on_unneeded(&node, topic);
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let followed_to = node.view(topic).followed_to();
        let step = match (followed_to, pace.next()) {
            (None, _) => {
                plan.on_part_lost();
                list(&node, topic, &mut pace, &mut plan).await
            }
            (Some(_), _) if is_whole_due(&node, topic, &plan) => {
                list(&node, topic, &mut pace, &mut plan).await
            }
            (Some(_), NextRead::List(pause)) => {
                sleep(pause).await;
                list(&node, topic, &mut pace, &mut plan).await
            }
            (Some(as_of), NextRead::Poll) => watch(&node, topic, as_of, &mut pace).await,
        };
        let now = node.now();
        match step {
            Ok(changed) => {
                on_success(&node, topic, now);
                if is_proof_due(&node, topic) {
                    // The store's answer proved nothing.
                    sleep(RETRY_DELAY).await;
                }
                if changed && topic == PublishedTopic::Replicas {
                    sleep(REPLICA_BATCH_INTERVAL).await;
                }
            }
            Err(reason) => {
                on_failure(&node, topic, now, &reason);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Whether the whole of a topic is to be listed of which only a part was taken.
fn is_whole_due(node: &Node, topic: PublishedTopic, plan: &ListingPlan) -> bool {
    node.view(topic).is_part() && plan.is_whole_due(node.now())
}

/// Whether this instance reads a topic itself: it is one of the readers, or its view is
/// incomplete or out of date.
fn must_read(node: &Node, topic: PublishedTopic) -> bool {
    let now = node.now();
    let reads = node.peers().reads_published(now);
    let view = node.view(topic);
    if reads || view.as_of().is_none() || is_proof_due(node, topic) {
        return true;
    }
    // What a peer is sending would only share the link with what the store sends.
    let is_receiving = topic == PublishedTopic::Operator && node.transfers.is_receiving();
    let lacks_for_long = view.lacks_for(now).is_some_and(|time| time >= LACK_READ_AFTER);
    !is_receiving && (lacks_for_long || !view.is_current(now))
}

/// Whether this instance should read a topic since it is to prove how fresh the configuration is.
fn is_proof_due(node: &Node, topic: PublishedTopic) -> bool {
    topic == PublishedTopic::Operator
        && node.requires_keys()
        && node.freshness.is_read_due(node.now())
}

/// Drops expired replicas and idle connections until the process ends.
pub async fn expire_unused(node: Arc<Node>) {
    loop {
        sleep(REPLICA_BATCH_INTERVAL).await;
        let now = node.now();
        node.replicas().drop_expired(now);
        watch_freshness(&node);
        node.connection_pool.close_expired(now);
    }
}

/// Logs a change of the trust in the configuration, and has reads of a restored store count once
/// there is no peer left that could have a later version.
fn watch_freshness(node: &Node) {
    if !node.requires_keys() {
        return;
    }
    node.config_trust();
    if node.is_joined() && node.peers().remembered_count() == 1 {
        node.freshness.stop_awaiting_peer();
    }
}

/// Applies the changes of a topic that a peer sent.
pub fn apply_peer_changes(
    node: &Node,
    topic: PublishedTopic,
    changes: ViewChanges,
    peer: SocketAddr,
) {
    let Some(as_of) = changes.as_of else { return };
    let now = node.now();
    if !node.view(topic).takes(&changes) {
        return;
    }
    let count = changes.events.len();
    record(&StoreEvent::TakenFromPeer { topic: topic.name(), as_of, whole: changes.whole, count });
    let was_listed = node.view(topic).was_listed();
    let is_restored = begin_era(node, topic, now, changes.era);
    let is_whole = changes.whole;
    let events = if is_whole {
        let items = changes.events.into_iter().filter_map(written_item);
        node.view(topic).changes_to(items.collect(), as_of)
    } else {
        changes.events
    };
    let outage_ended = match changes.outage_ended_ms {
        Some(ms) => Some(now - Duration::from_millis(ms)),
        None => changes.after_outage.then_some(now),
    };
    let source = Source { is_restored, outage_ended, peer: Some(peer) };
    apply_events(node, topic, &events, source);
    let age = changes.age_ms.map_or(Duration::MAX, Duration::from_millis);
    let at = now - age;
    if is_whole {
        node.view(topic).on_peers_items(as_of, at);
    } else {
        node.view(topic).on_complete(as_of, at);
    }
    if !was_listed {
        let (topic, may_be_old) = (topic.name(), !node.view(topic).is_current(now));
        StartStep::Listed { topic, from: Some(peer), may_be_old }.record(node.now());
    }
}

/// Whether an outage of the published state ended so recently that a removed item may have
/// expired because of it.
pub fn is_after_outage(now: Timestamp, outage_ended: Option<Timestamp>) -> bool {
    outage_ended.is_some_and(|at| now.since(at) < OUTAGE_MEMORY_TIME)
}

/// Where changes come from, as far as it decides what a removal or an entry means.
#[derive(Clone, Copy, Debug, Default)]
struct Source {
    /// Whether they are the first listing after the store was restored from a copy.
    is_restored: bool,
    /// End of the last outage of the published state.
    outage_ended: Option<Timestamp>,
    /// Instance that they were taken from; `None` if they were read from the store.
    peer: Option<SocketAddr>,
}

/// Switches the view to an era of which everything is listed; returns whether the store was
/// restored since the view's last change.
fn begin_era(node: &Node, topic: PublishedTopic, now: Timestamp, era: u64) -> bool {
    let mut view = node.view(topic);
    let before = view.era();
    let is_restored = view.begin_era(now, era);
    drop(view);
    if is_restored {
        record(&StoreEvent::StoreRestored { topic: topic.name(), before, era });
        if topic == PublishedTopic::Operator && node.peers().remembered_count() > 1 {
            node.freshness.on_restored();
        }
    }
    is_restored
}

async fn list(
    node: &Node,
    topic: PublishedTopic,
    pace: &mut ReadPace,
    plan: &mut ListingPlan,
) -> Result<bool, String> {
    // The watch that follows brings an old listing up to date.
    let was_listed = node.view(topic).was_listed();
    let way = plan.way(was_listed);
    node.view(topic).reads.on_begin(node.now());
    let read = listing::read(node, topic, way).await;
    node.view(topic).reads.on_answer();
    let listing = match read {
        Ok(part) if way == ListingWay::Part => {
            take_part(node, topic, way, part, "the whole can't be listed");
            plan.on_part(node.now());
            *pace = ReadPace::default();
            return Ok(false);
        }
        Ok(listing) => listing,
        Err(fault) => {
            let result = on_listing_fault(node, topic, plan, way, fault).await;
            if node.view(topic).is_part() {
                // The whole is tried again later.
                *pace = ReadPace::default();
            }
            return result;
        }
    };
    let (as_of, era) = (listing.as_of.unwrap_or_default(), listing.era.unwrap_or_default());
    let is_taken = node.view(topic).takes_listing(era, as_of);
    if !is_taken {
        *pace = ReadPace::default();
        return on_outdated_listing(node, topic);
    }
    if plan.on_whole() {
        record(&StoreEvent::ListedWhole { topic: topic.name(), way: way.name() });
    }
    let may_be_old = way.may_be_old();
    let (asked_at, body_time) = (listing.asked_at, listing.body_time);
    let has_changes = apply_listing(node, topic, listing);
    pace.on_answer(body_time, has_changes && !may_be_old);
    if may_be_old {
        node.view(topic).on_old_listing(node.now());
    } else {
        on_proof(node, topic, Some(era), asked_at);
    }
    Ok(false)
}

/// Goes on from what peers told while a listing was under way, or lists again if that can't be followed.
fn on_outdated_listing(node: &Node, topic: PublishedTopic) -> Result<bool, String> {
    match node.view(topic).followed_to() {
        Some(_) => Ok(false),
        None => Err("the listing is older than what is known".to_owned()),
    }
}

async fn watch(
    node: &Node,
    topic: PublishedTopic,
    after: u64,
    pace: &mut ReadPace,
) -> Result<bool, String> {
    let wait = watch_wait(node, topic);
    let path = node.protocol.watch_path(topic, after, wait);
    node.view(topic).reads.on_begin(node.now());
    let response = store_call::get(node, path, wait + WATCH_MARGIN).await;
    node.view(topic).reads.on_answer();
    if response.as_ref().is_err_and(|failure| failure.has_begun) {
        pace.on_broken_answer();
    }
    let StoreResponse { status, era, body, body_time, asked_at } = response?;
    let era_check = node.view(topic).on_store_era(era);
    match era_check {
        EraCheck::Older => return Err("response from before the store was restored".to_owned()),
        EraCheck::Newer => {
            relist_delay(node, topic).await;
            return Ok(false);
        }
        EraCheck::Same => {}
    }
    if let Ok(code) = hyper::StatusCode::from_u16(status)
        && node.protocol.is_history_lost(code)
    {
        record(&StoreEvent::HistoryLost { topic: topic.name(), after });
        node.view(topic).on_history_lost();
        relist_delay(node, topic).await;
        return Ok(false);
    }
    if status != 200 {
        return Err(format!("watch returned status {status}"));
    }
    let page = node.protocol.decode_watch(&body).map_err(|e| e.to_string())?;
    let changed = apply_watch_page(node, topic, &page);
    pace.on_answer(body_time, changed);
    on_proof(node, topic, era, asked_at);
    Ok(changed)
}

/// Takes what there is of a listing if there's no other way, or has the next one made in another way.
async fn on_listing_fault(
    node: &Node,
    topic: PublishedTopic,
    plan: &mut ListingPlan,
    way: ListingWay,
    fault: ListingFault,
) -> Result<bool, String> {
    let ListingFault { kind, detail, read } = fault;
    let is_usable = read.as_of.is_some() && kind != ListingFailure::Endless;
    if way == ListingWay::Incomplete && is_usable {
        take_part(node, topic, way, read, &detail);
        plan.on_part(node.now());
        return Ok(false);
    }
    let was_listed = node.view(topic).was_listed();
    if plan.on_failure(node.now(), kind, was_listed) {
        let way = plan.way(was_listed).name();
        record(&StoreEvent::ListingChanged { topic: topic.name(), way, detail: &detail });
    }
    if node.view(topic).is_part() && kind != ListingFailure::Unanswered {
        // Changes are followed all the same.
        return Ok(false);
    }
    sleep(plan.pause()).await;
    Err(detail)
}

/// Applies a part of a listing, of which nothing shows what was removed.
fn take_part(node: &Node, topic: PublishedTopic, way: ListingWay, part: Listing, detail: &str) {
    let as_of = part.as_of.unwrap_or_default();
    let (topic_name, way, items) = (topic.name(), way.name(), part.items.len());
    record(&StoreEvent::PartTaken { topic: topic_name, way, as_of, items, detail });
    let now = node.now();
    node.view(topic).on_contact(now);
    let is_restored = begin_era(node, topic, now, part.era.unwrap_or_default());
    node.view(topic).begin_part(as_of);
    let is_config = |item| matches!(node.protocol.decode_config(item), Ok(Some(_)));
    let has_config = part.items.iter().any(is_config);
    part.odd.iter().for_each(|item| record_odd(node, topic, item));
    let events: Vec<PublishedEvent> = part.items.into_iter().map(PublishedEvent::Written).collect();
    let outage_ended = node.view(topic).outage_ended();
    let source = Source { is_restored, outage_ended, peer: None };
    apply_events(node, topic, &events, source);
    node.view(topic).on_part(as_of, now, has_config);
}

/// Longest time for which the next poll of a topic waits.
fn watch_wait(node: &Node, topic: PublishedTopic) -> Duration {
    if !node.view(topic).is_current(node.now()) || is_proof_due(node, topic) {
        CATCH_UP_WAIT
    } else if topic == PublishedTopic::Operator && node.requires_keys() {
        KEYED_WATCH_WAIT
    } else {
        WATCH_WAIT
    }
}

/// Records that a whole and current answer of the store was applied: it proves the configuration
/// unless it is of another era than the view.
fn on_proof(node: &Node, topic: PublishedTopic, era: Option<u64>, asked_at: Option<Timestamp>) {
    let view = node.view(topic);
    let is_same_era = era.unwrap_or_default() == view.era();
    let has_config = view.has_main_part();
    drop(view);
    if topic == PublishedTopic::Operator && is_same_era && has_config {
        node.freshness.on_read(asked_at);
    }
}

/// Spreads the listings of all instances that have to list anew at the same time.
async fn relist_delay(node: &Node, topic: PublishedTopic) {
    let score = rendezvous::score(topic.name(), node.settings.instance.as_str());
    sleep(Duration::from_millis(score % MAX_RELIST_DELAY_MS)).await;
}

/// Applies a listing; returns whether anything has changed.
fn apply_listing(node: &Node, topic: PublishedTopic, listing: Listing) -> bool {
    let Listing { items, odd, as_of, era, .. } = listing;
    let (as_of, era) = (as_of.unwrap_or_default(), era.unwrap_or_default());
    let now = node.now();
    node.view(topic).on_contact(now);
    let was_listed = node.view(topic).was_listed();
    let is_restored = begin_era(node, topic, now, era);
    odd.iter().for_each(|item| record_odd(node, topic, item));
    let mut events = node.view(topic).changes_to(items, as_of);
    // An item that can't be read isn't removed.
    let odd_keys: HashSet<&str> = odd.iter().filter_map(|item| item.key.as_deref()).collect();
    events.retain(|event| {
        matches!(event, PublishedEvent::Written(_)) || !odd_keys.contains(event.key())
    });
    let outage_ended = node.view(topic).outage_ended();
    let source = Source { is_restored, outage_ended, peer: None };
    let has_changes = apply_events(node, topic, &events, source);
    let mut view = node.view(topic);
    view.on_listed(as_of, now);
    view.on_store_read();
    drop(view);
    if !was_listed {
        // The first listing is asked for as one that may be old.
        StartStep::Listed { topic: topic.name(), from: None, may_be_old: true }.record(node.now());
    }
    has_changes
}

fn apply_watch_page(node: &Node, topic: PublishedTopic, page: &PublishedPage) -> bool {
    let now = node.now();
    node.view(topic).on_contact(now);
    let outage_ended = node.view(topic).outage_ended();
    let source = Source { is_restored: false, outage_ended, peer: None };
    page.odd.iter().for_each(|item| record_odd(node, topic, item));
    apply_events(node, topic, &page.events, source);
    let mut view = node.view(topic);
    view.on_followed(page.as_of, now);
    view.on_store_read();
    drop(view);
    !page.events.is_empty()
}

/// Applies changes; returns whether there were any that this instance didn't have.
fn apply_events(
    node: &Node,
    topic: PublishedTopic,
    events: &[PublishedEvent],
    source: Source,
) -> bool {
    let mut any_worth_sharing = false;
    let mut any_new = false;
    for event in events {
        let mut view = node.view(topic);
        if !view.apply(event) {
            continue;
        }
        drop(view);
        any_new = true;
        let is_worth_sharing = match topic {
            PublishedTopic::Operator => operator_items::apply(node, event, source.peer),
            PublishedTopic::Replicas => apply_replica(node, event, source),
        };
        if let PublishedEvent::Written(item) = event
            && is_worth_sharing
        {
            node.view(topic).mark_for_sharing(&item.key);
        }
        any_worth_sharing |= is_worth_sharing;
    }
    if any_worth_sharing {
        node.exchange_wake.notify_one();
    }
    any_new
}

/// Applies a change of a replica's entry; returns whether peers need it.
fn apply_replica(node: &Node, event: &PublishedEvent, source: Source) -> bool {
    let now = node.now();
    match event {
        PublishedEvent::Written(item) => match node.protocol.decode_replica(item) {
            Ok(entry) => {
                let (name, state) = (entry.name.clone(), entry.state);
                let mut replicas = node.replicas();
                let is_worth_sharing = replicas.is_worth_sharing(&entry);
                let is_new = if source.is_restored {
                    replicas.on_restored_entry(now, entry)
                } else {
                    replicas.on_entry(now, entry)
                };
                if is_new {
                    let state = format!("{state:?}");
                    let replica = name.as_str();
                    record(&LogEvent::ReplicaKnown { replica, state: &state, rev: item.rev });
                }
                is_worth_sharing
            }
            Err(error) => {
                record_odd(node, PublishedTopic::Replicas, &OddItem::undecodable(item, &error));
                true
            }
        },
        PublishedEvent::Removed { key, .. } => {
            let Some(name) = node.protocol.replica_of_key(key) else { return true };
            let after_outage = is_after_outage(now, source.outage_ended);
            record(&LogEvent::ReplicaRemoved { replica: name.as_str(), after_outage });
            node.replicas().on_removed(now, &name, source.outage_ended);
            node.metrics.on_replica_gone(&name);
            true
        }
    }
}

/// Logs an item of which something can't be read, unless it was logged lately, and counts it.
pub fn record_odd(node: &Node, topic: PublishedTopic, item: &OddItem) {
    node.metrics.on_odd_item(topic);
    let (what, detail) = (item.name.as_str(), item.detail.as_str());
    let is_due = node.view(topic).odd_items.is_due(node.now(), what, detail);
    if is_due {
        record(&LogEvent::Undecodable { what, detail });
    }
}

fn on_success(node: &Node, topic: PublishedTopic, now: Timestamp) {
    let mut view = node.view(topic);
    view.last_success = Some(now);
    let line = view.reads.on_end(now);
    drop(view);
    record_read_line(topic, line, PublishedSource::Store);
}

fn on_failure(node: &Node, topic: PublishedTopic, now: Timestamp, reason: &str) {
    node.metrics.on_published_failed(topic);
    let mut view = node.view(topic);
    view.last_failure = Some(now);
    let line = view.reads.on_failure(now, reason);
    drop(view);
    record_read_line(topic, line, PublishedSource::Store);
}

/// Ends the failure of a topic that this instance needn't read any more, as its peers have it.
fn on_unneeded(node: &Node, topic: PublishedTopic) {
    let now = node.now();
    let mut view = node.view(topic);
    if !view.is_current(now) {
        return;
    }
    let line = view.reads.on_end(now);
    drop(view);
    record_read_line(topic, line, PublishedSource::Peers);
}

fn record_read_line(topic: PublishedTopic, line: Option<ReadLine>, by: PublishedSource) {
    let topic = topic.name();
    match line {
        None => {}
        Some(ReadLine::Lost { failure, unlogged }) => record(&StoreEvent::PublishedLost {
            topic,
            detail: &failure.cause,
            failing_ms: failure.failing_ms,
            failures: failure.failures,
            unlogged,
        }),
        Some(ReadLine::Failing { failure }) => record(&StoreEvent::PublishedFailing {
            topic,
            detail: &failure.cause,
            since_ms: failure.cause_ms,
            count: failure.cause_count,
            failing_ms: failure.failing_ms,
            failures: failure.failures,
        }),
        Some(ReadLine::Regained { lasted, failures }) => record(&StoreEvent::PublishedRegained {
            topic,
            by,
            lasted_ms: lasted.as_millis(),
            failures,
        }),
    }
}

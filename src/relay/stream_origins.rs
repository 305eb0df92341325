//! At which software version the streams of callers began, so that they go on at the same one.
//!
//! The instance whose replica brought the first event of a stream remembers it and tells a few
//! others, the stream's witnesses, so that it is known after the instance has gone. An instance at
//! which a caller takes up a stream that it doesn't know asks those that rank first as witnesses. If
//! none of them knows it, as after a loss of all instances, the replicas' KV caches tell.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep;
use tokio::time::timeout;

use super::PublishedTopic;
use super::RequestHead;
use super::exchange::call_peer;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use super::prompt_caches;
use super::version_source::VersionSource;
use crate::decide::traffic::CacheAnswer;
use crate::decide::traffic::Coverage;
use crate::decide::traffic::HistoryExtent;
use crate::decide::traffic::HistoryStep;
use crate::decide::traffic::ORIGIN_LOOKUPS;
use crate::decide::traffic::ORIGIN_WITNESSES;
use crate::decide::traffic::OriginKnowledge;
use crate::decide::traffic::PossibleOrigin;
use crate::decide::traffic::StreamKey;
use crate::decide::traffic::StreamVersion;
use crate::error::Result;
use crate::names::BackendName;
use crate::names::ServiceName;
use crate::names::SoftwareVersion;
use crate::replica_history::ReadHistory;
use crate::wire::stream_origin::OriginNotice;
use crate::wire::stream_origin::OriginQuery;
use crate::wire::stream_origin::STREAM_ORIGIN_PATH;

/// Longest wait for the answers of other instances, and for this one's view of the replicas.
const LOOKUP_TIME: Duration = Duration::from_millis(250);
/// Interval at which the view of the replicas is checked for being current.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Most listed replicas that are asked for one request, so that its calls don't grow with the fleet.
const MAX_CACHES_ASKED: usize = 16;

/// At which version a stream that a caller takes up may go on, and how that is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundVersion {
    /// The version.
    pub version: StreamVersion,
    /// How it is known.
    pub source: VersionSource,
}

/// Remembers, and tells the stream's witnesses, at which software version a stream began.
pub fn on_begun(
    node: &Node,
    head: &RequestHead,
    replica: &BackendName,
    software: &SoftwareVersion,
) {
    let id = head.id.as_str();
    record(&LogEvent::StreamBegan { id, replica: replica.as_str(), software: software.as_str() });
    let stream = StreamKey::new(head.resumes.as_deref().unwrap_or(id));
    let now = node.now();
    node.stream_origins().on_begun(now, stream, software.clone());
    let witnesses = node.peers().witnesses(now, stream, ORIGIN_WITNESSES);
    let notice = OriginNotice { stream, software: software.clone() };
    node.origin_datagrams.send(&witnesses, &notice);
}

/// Finds out at which software version the stream that a request takes up may go on.
///
/// `longest_stream` is the time for which its caller may have tried.
pub async fn find(
    node: &Node,
    head: &RequestHead,
    service: &ServiceName,
    longest_stream: Duration,
) -> FoundVersion {
    let stream = head.resumes.as_deref().map(StreamKey::new);
    let query = OriginQuery { stream, service: service.clone() };
    let mut own = answer(node, &query);
    let (mut asked, mut answers) = (0, Vec::new());
    if own.origin.is_none() {
        let ranking = stream.unwrap_or_else(|| StreamKey::new(&head.id));
        let peers = node.peers().witnesses(node.now(), ranking, ORIGIN_LOOKUPS);
        asked = peers.len();
        let started = node.now();
        answers = ask_all(node, &peers, &query).await;
        if answers.iter().all(|known| known.origin.is_none()) {
            let left = LOOKUP_TIME.saturating_sub(node.now().since(started));
            let _ = timeout(left, until_view_is_current(node)).await;
        }
        own = answer(node, &query);
    }
    let version = StreamVersion::decide(&own, &answers, longest_stream);
    let source = source_of(&version, &own, &answers);
    let mut found = FoundVersion { version, source };
    let mut caches = Vec::new();
    if found.version == StreamVersion::Unknown {
        learn_history(node).await;
        own = answer(node, &query);
        let version = StreamVersion::decide(&own, &answers, longest_stream);
        found = FoundVersion { source: source_of(&version, &own, &answers), version };
    }
    if found.version == StreamVersion::Unknown {
        let known = std::iter::once(&own).chain(&answers);
        (found, caches) = look_into_caches(node, head, service, known).await;
    }
    record_decision(head, &found, (asked, answers.len()), &caches, own.coverage);
    found
}

/// Finds the version of a stream that no instance knows by the KV caches of the replicas; returns
/// their answers too.
async fn look_into_caches(
    node: &Node,
    head: &RequestHead,
    service: &ServiceName,
    known: impl Iterator<Item = &OriginKnowledge>,
) -> (FoundVersion, Vec<CacheAnswer>) {
    let unknown = FoundVersion { version: StreamVersion::Unknown, source: VersionSource::Unknown };
    let (Some(key), Some(part)) = (&head.needs.key, head.needs.parts.last()) else {
        if !node.view(PublishedTopic::Replicas).has_told_history(node.now()) {
            return (unknown, Vec::new());
        }
        let version = StreamVersion::sole(known);
        let source = match version {
            StreamVersion::At(_) => VersionSource::SoleVersion,
            StreamVersion::Unknown | StreamVersion::Contradictory => VersionSource::Unknown,
        };
        return (FoundVersion { version, source }, Vec::new());
    };
    let listed = node.replicas().cache_candidates(service, key, MAX_CACHES_ASKED);
    let replicas = PossibleOrigin::all(listed, known.flat_map(|known| &known.departed));
    let answers = prompt_caches::ask(node, replicas, part).await;
    let version = StreamVersion::from_caches(part, head.needs.output_tokens, &answers);
    if !matches!(version, StreamVersion::At(_)) {
        return (FoundVersion { version, ..unknown }, answers);
    }
    (FoundVersion { version, source: VersionSource::PromptCache }, answers)
}

/// Has the store tell which replicas left before this instance followed them, or how far back what it
/// told reaches.
async fn learn_history(node: &Node) {
    let Some(_turn) = node.history.turn().await else { return };
    let (step, era) = {
        let view = node.view(PublishedTopic::Replicas);
        (view.history_step(node.now()), view.era())
    };
    let has_failed = match step {
        HistoryStep::Nothing => false,
        HistoryStep::Read { newest } => {
            let read = node.history.read(newest, era).await;
            read.map(|read| on_history_read(node, &read, newest)).is_none()
        }
        HistoryStep::Check { oldest, newest } => {
            let checked = node.history.check(oldest, newest, era).await;
            checked.map(|kept| on_history_checked(node, kept)).is_none()
        }
    };
    if has_failed {
        node.view(PublishedTopic::Replicas).history.on_failed(node.now());
    }
}

fn on_history_checked(node: &Node, (keeps_oldest, keeps_newest): (bool, bool)) {
    let now = node.now();
    node.view(PublishedTopic::Replicas).history.on_checked(now, keeps_oldest, keeps_newest);
}

fn on_history_read(node: &Node, read: &ReadHistory, newest: u64) {
    let now = node.now();
    let ReadHistory { replicas, oldest } = read;
    node.replicas().on_history(now, replicas);
    let extent = HistoryExtent::new(now, *oldest, newest);
    let has_unidentified = !replicas.unidentified.is_empty();
    node.view(PublishedTopic::Replicas).history.on_read(extent, has_unidentified);
    record(&LogEvent::HistoryRead {
        after: *oldest,
        departed: replicas.departed.len(),
        unidentified: replicas.unidentified.len(),
    });
}

/// What this instance knows, as an answer to another one.
pub fn answer(node: &Node, query: &OriginQuery) -> OriginKnowledge {
    let now = node.now();
    let coverage = node.view(PublishedTopic::Replicas).coverage(now);
    let known = OriginKnowledge::of_service(&node.replicas(), &query.service, now, coverage);
    let origins = node.stream_origins();
    let origin = query.stream.and_then(|stream| origins.version_of(now, stream).cloned());
    OriginKnowledge { origin, ..known }
}

/// Asks instances until one knows where the stream began or all have answered.
async fn ask_all(node: &Node, peers: &[SocketAddr], query: &OriginQuery) -> Vec<OriginKnowledge> {
    let mut calls: FuturesUnordered<_> = peers.iter().map(|peer| ask(node, *peer, query)).collect();
    let mut answers = Vec::new();
    while let Some(answer) = calls.next().await {
        let is_known = answer.as_ref().is_some_and(|known| known.origin.is_some());
        answers.extend(answer);
        if is_known {
            break;
        }
    }
    answers
}

/// Completes when this instance knows which replicas there are now.
async fn until_view_is_current(node: &Node) {
    while !node.view(PublishedTopic::Replicas).is_current(node.now()) {
        sleep(VIEW_CHECK_INTERVAL).await;
    }
}

/// Asks an instance; `None` if it doesn't answer in time, or doesn't know the call.
async fn ask(node: &Node, addr: SocketAddr, query: &OriginQuery) -> Option<OriginKnowledge> {
    let reply: Result<OriginKnowledge> =
        call_peer(node, addr, STREAM_ORIGIN_PATH, query, LOOKUP_TIME).await;
    reply.inspect_err(|e| log::debug!("{addr} not heard on the origin of a stream: {e}")).ok()
}

fn source_of(
    version: &StreamVersion,
    own: &OriginKnowledge,
    answers: &[OriginKnowledge],
) -> VersionSource {
    match version {
        StreamVersion::Unknown | StreamVersion::Contradictory => VersionSource::Unknown,
        StreamVersion::At(_) if own.origin.is_some() => VersionSource::Own,
        StreamVersion::At(_) if answers.iter().any(|known| known.origin.is_some()) => {
            VersionSource::Peer
        }
        StreamVersion::At(_) => VersionSource::SoleVersion,
    }
}

/// Logs the decision; `peers` is how many instances were asked and how many of them answered.
fn record_decision(
    head: &RequestHead,
    found: &FoundVersion,
    peers: (usize, usize),
    caches: &[CacheAnswer],
    coverage: Coverage,
) {
    let software = match &found.version {
        StreamVersion::At(software) => Some(software.as_str()),
        StreamVersion::Unknown | StreamVersion::Contradictory => None,
    };
    let (part, output_tokens) = (head.needs.parts.last(), head.needs.output_tokens);
    let has_read = |answer: &CacheAnswer| part.is_some_and(|p| answer.has_read(p, output_tokens));
    let reader = caches.iter().find(|answer| has_read(answer));
    record(&LogEvent::ResumptionDecided {
        id: &head.id,
        resumes: head.resumes.as_deref(),
        software,
        source: found.source,
        asked: peers.0,
        answered: peers.1,
        caches: caches.len(),
        cached_at: reader.map(|answer| answer.replica.as_str()),
        cache_age_ms: reader.and_then(|answer| Some(answer.holding?.age.as_millis())),
        covers_ms: coverage.as_millis(),
    });
}

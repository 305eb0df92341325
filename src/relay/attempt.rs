//! One attempt: a request is sent to one replica and its answer awaited.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::response;

use super::AttemptHead;
use super::ResponseHead;
use super::event::AttemptReason;
use super::event::LogEvent;
use super::event::record;
use super::in_flight::InFlight;
use super::job::Job;
use super::node::Node;
use super::turns::PromptTurn;
use super::upstream::Connection;
use super::upstream::Upstream;
use crate::decide::traffic::AttemptEnd;
use crate::names::BackendName;

/// Largest answer that is read whole, in bytes.
const MAX_WHOLE_BYTES: usize = 16 * 1024 * 1024;
/// Weight of a refusal among a replica's failures.
const REFUSAL_WEIGHT: f64 = 0.5;
/// Weight of a failure that the replica answered with.
const ANSWERED_FAILURE_WEIGHT: f64 = 0.3;

/// The body of a replica's answer.
pub enum ReplicaBody {
    /// Read to its end.
    Whole(Bytes),
    /// A stream that has begun.
    Stream(Box<OpenStream>),
}

/// A stream that a replica sends.
pub struct OpenStream {
    /// The bytes.
    pub source: Incoming,
    /// Where they come from.
    pub origin: Origin,
    /// Keeps the request counted.
    pub in_flight: InFlight,
    /// The connection.
    pub connection: Connection,
}

/// The replica of an attempt.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Its name.
    pub replica: BackendName,
    /// Its address.
    pub addr: SocketAddr,
    /// Time for which the replica keeps the connection; `None` if it closes it.
    pub keeps: Option<Duration>,
}

/// A replica's answer.
pub struct ReplicaAnswer {
    /// Status and headers.
    pub head: response::Parts,
    /// Body.
    pub body: ReplicaBody,
}

/// How an attempt went.
pub enum AttemptOutcome {
    /// An answer for the caller.
    Answer(ReplicaAnswer),
    /// The replica ran the request and failed; the answer may be passed on.
    Failure(ReplicaAnswer),
    /// Nothing to pass on.
    Ended(AttemptEnd),
}

/// Sends the request of `job` to `replica`.
///
/// The turn of a long prompt ends when the prompt has been read.
pub async fn run(
    job: &Job,
    replica: &BackendName,
    resume_after: Option<&str>,
    turn: Option<PromptTurn>,
) -> AttemptOutcome {
    let node = &job.node;
    let Some((addr, known)) = read_state(job, replica) else {
        return AttemptOutcome::Ended(AttemptEnd::NotSent);
    };
    let load = job.call.wanted.workload(known);
    let mut in_flight = InFlight::start(node, replica, load, job.call.wanted.key.clone(), turn);
    let Some(connection) = connect(job, replica, addr).await else {
        return AttemptOutcome::Ended(AttemptEnd::NotSent);
    };
    let (mut connection, answer) = match send(job, replica, connection, resume_after).await {
        Ok(sent) => sent,
        Err(end) => return AttemptOutcome::Ended(end),
    };
    in_flight.on_answered();
    let (head, source) = answer.into_parts();
    let read = node.protocol.read_response_head(&head);
    if let Some(end) = refused(job, replica, &head, &read) {
        finish_refused(job, replica, addr, connection, source, &head).await;
        return AttemptOutcome::Ended(end);
    }
    if !is_genuine(job, &head, &read) {
        ended(job, replica, AttemptReason::Foreign, "");
        return AttemptOutcome::Ended(AttemptEnd::MaybeRan);
    }
    note_prefix(job, replica);
    let origin = Origin { replica: replica.clone(), addr, keeps: keeps(&head) };
    if job.route.kind.is_stream() && head.status == StatusCode::OK {
        let stream = OpenStream { source, origin, in_flight, connection };
        return AttemptOutcome::Answer(ReplicaAnswer {
            head,
            body: ReplicaBody::Stream(Box::new(stream)),
        });
    }
    let Some(body) = whole(source).await else {
        fail(job, replica, 1.0);
        ended(job, replica, AttemptReason::BrokenOff, "");
        return AttemptOutcome::Ended(AttemptEnd::MaybeRan);
    };
    release(node, &origin, &mut connection);
    drop(in_flight);
    if let Some(limit) = origin.keeps {
        node.upstream.keep(node.now(), replica, addr, connection, Some(limit));
    }
    let is_failure = head.status.is_server_error();
    let answer = ReplicaAnswer { head, body: ReplicaBody::Whole(body) };
    if is_failure {
        fail(job, replica, ANSWERED_FAILURE_WEIGHT);
        AttemptOutcome::Failure(answer)
    } else {
        AttemptOutcome::Answer(answer)
    }
}

/// Writes why an attempt brought no answer to pass on.
pub fn ended(job: &Job, replica: &BackendName, reason: AttemptReason, detail: &str) {
    job.node.metrics.on_attempt_failed(replica, reason);
    let (id, replica) = (job.call.id.as_str(), replica.as_str());
    record(&LogEvent::AttemptFailed { id, replica, reason, detail });
}

/// Notes that a replica failed.
pub fn fail(job: &Job, replica: &BackendName, weight: f64) {
    let now = job.node.now();
    if let Some(known) = job.node.replicas().get_mut(replica) {
        known.on_failure(now, weight);
    }
}

fn read_state(job: &Job, replica: &BackendName) -> Option<(SocketAddr, u64)> {
    let replicas = job.node.replicas();
    let known = replicas.get(replica)?;
    let wanted = &job.call.wanted;
    let read = wanted
        .key
        .as_ref()
        .map_or(0, |key| known.prefixes.cached_prefix_tokens(key, &wanted.parts));
    Some((known.entry.addr, read))
}

async fn connect(job: &Job, replica: &BackendName, addr: SocketAddr) -> Option<Connection> {
    if job.route.kind.may_repeat()
        && let Some(kept) = job.node.upstream.kept(job.node.now(), replica, addr)
    {
        return Some(kept);
    }
    match Upstream::connect(addr).await {
        Ok(connection) => Some(connection),
        Err(e) => {
            ended(job, replica, AttemptReason::Unreachable, &e.to_string());
            let now = job.node.now();
            if let Some(known) = job.node.replicas().get_mut(replica) {
                known.on_unreachable(now);
            }
            None
        }
    }
}

async fn send(
    job: &Job,
    replica: &BackendName,
    mut connection: Connection,
    resume_after: Option<&str>,
) -> Result<(Connection, Response<Incoming>), AttemptEnd> {
    let req = request(job, replica, resume_after);
    match connection.sender.try_send_request(req).await {
        Ok(answer) => Ok((connection, answer)),
        Err(mut failed) => {
            let unsent = failed.take_message().is_some();
            let error = failed.into_error();
            ended(job, replica, AttemptReason::NoAnswer, &error.to_string());
            fail(job, replica, 1.0);
            if unsent {
                return Err(AttemptEnd::NotSent);
            }
            job.on_broken(replica);
            Err(AttemptEnd::MaybeRan)
        }
    }
}

fn request(job: &Job, replica: &BackendName, resume_after: Option<&str>) -> Request<Full<Bytes>> {
    let wanted = &job.call.wanted;
    let version = wanted.key.as_ref().and_then(|key| job.required_version(replica, key));
    let head = AttemptHead {
        replica,
        time_left: job.time_left(),
        priority: wanted.key.is_some().then_some(job.route.priority),
        resume_after,
        version,
    };
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.head.method.clone();
    *req.uri_mut() = job.path.clone();
    *req.headers_mut() = job.node.protocol.attempt_headers(&job.headers, &head);
    let has_body = !job.body.is_empty() || job.has_length;
    if has_body {
        req.headers_mut().insert(header::CONTENT_LENGTH, job.body.len().into());
    }
    req
}

/// How the attempt ended, if the replica says that it didn't run the request.
fn refused(
    job: &Job,
    replica: &BackendName,
    head: &response::Parts,
    read: &ResponseHead,
) -> Option<AttemptEnd> {
    let other_id = read.id.as_ref().is_some_and(|id| *id != job.call.id);
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    if other_id || !(read.not_run || misdirected) {
        return None;
    }
    let now = job.node.now();
    let mut replicas = job.node.replicas();
    if let Some(known) = replicas.get_mut(replica) {
        let is_other = read.replica.as_ref().is_some_and(|answering| answering != replica);
        match &job.call.wanted.key {
            _ if misdirected && is_other => known.on_address_reused(),
            Some(key) if misdirected => known.on_missing(now, key),
            _ => known.on_failure(now, REFUSAL_WEIGHT),
        }
    }
    ended(job, replica, AttemptReason::Refused, head.status.as_str());
    Some(AttemptEnd::NotRun)
}

/// Reads the rest of a refusal, so that the connection can be kept.
async fn finish_refused(
    job: &Job,
    replica: &BackendName,
    addr: SocketAddr,
    connection: Connection,
    source: Incoming,
    head: &response::Parts,
) {
    if let (Some(limit), Some(_)) = (keeps(head), whole(source).await) {
        job.node.upstream.keep(job.node.now(), replica, addr, connection, Some(limit));
    }
}

/// Whether an answer belongs to the request and comes from the replica itself.
fn is_genuine(job: &Job, head: &response::Parts, read: &ResponseHead) -> bool {
    let right_id = read.id.as_ref().is_some_and(|id| *id == job.call.id);
    let sealed = read.is_sealed || !head.status.is_success();
    right_id && sealed && !read.is_encoded
}

fn note_prefix(job: &Job, replica: &BackendName) {
    let Some(key) = &job.call.wanted.key else { return };
    let now = job.node.now();
    if let Some(known) = job.node.replicas().get_mut(replica) {
        known.prefixes.on_read(now, key, &job.call.wanted.parts);
    }
}

fn release(node: &Node, origin: &Origin, connection: &mut Connection) {
    if !connection.sender.is_ready() {
        log::debug!("connection to {} isn't ready for the next request", origin.replica);
    }
    if let Some(known) = node.replicas().get_mut(&origin.replica) {
        known.on_bytes_received(node.now());
    }
}

/// Time for which a connection is kept after this answer; `None` if it is closed.
fn keeps(head: &response::Parts) -> Option<Duration> {
    let closes = head
        .headers
        .get_all(header::CONNECTION)
        .iter()
        .any(|value| value.as_bytes().to_ascii_lowercase().windows(5).any(|w| w == b"close"));
    if closes {
        return None;
    }
    let named = head.headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = named
        .and_then(|text| text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|text| text.trim().parse::<u64>().ok());
    Some(match seconds {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(Duration::from_millis(500)),
        None => Duration::MAX,
    })
}

/// The whole body, or `None` if it broke off or is too large.
async fn whole(mut source: Incoming) -> Option<Bytes> {
    let mut buf = BytesMut::new();
    while let Some(frame) = source.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if buf.len() + data.len() > MAX_WHOLE_BYTES {
            return None;
        }
        buf.extend_from_slice(&data);
    }
    Some(buf.freeze())
}

//! One attempt: sends a request to one replica and reads the response.
//!
//! A response is forwarded only if it carries the request's id, is a final one, has no content encoding
//! and, if it is a success, carries the seal of a replica that ran the request; otherwise it isn't the
//! replica's own. An attempt without a response to forward ends with what is known of the
//! request: that it wasn't sent, that it provably didn't run, or that it may have run.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::http::response;
use tokio::time::timeout;

use super::ResponseHead;
use super::attempt_failure::AttemptFailure;
use super::body_reader;
use super::body_reader::BodyFailure;
use super::connection_pool::Connection;
use super::connection_pool::ConnectionPool;
use super::forwarded_request::ForwardedRequest;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use super::notices;
use super::open_stream::OpenStream;
use super::origin::Origin;
use super::prompt_quarantine;
use super::reach;
use super::replica_request;
use super::replica_request_guard::ReplicaRequestGuard;
use super::replica_signals;
use super::response::LocalResponse;
use super::response_framing::has_marked_end;
use super::response_framing::keep_alive_time;
use super::turns::PromptTurn;
use crate::decide::buffers::BufferKind;
use crate::decide::traffic::AttemptEnd;
use crate::decide::traffic::Replica;
use crate::decide::traffic::ReplicaEntry;
use crate::decide::traffic::ResponseProgress;
use crate::edge::MeteredBody;
use crate::names::BackendName;
use crate::send_permits::SendPermit;

/// Largest response body that is read whole, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Largest body of a refusal that is read to its end, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;
/// Time for reading the body of a refusal, by which it may delay the retry.
const REFUSAL_DRAIN_TIMEOUT: Duration = Duration::from_millis(50);
/// Weight of a refusal in a replica's failure score; a broken connection weighs 1.
const REFUSAL_WEIGHT: f64 = 0.5;
/// Weight of a server error response in a replica's failure score.
const SERVER_ERROR_WEIGHT: f64 = 0.3;

/// Body of a replica's response.
pub enum ReplicaBody {
    /// Read to its end.
    Whole(Bytes),
    /// A stream whose head has arrived.
    Stream(Box<OpenStream>),
}

/// A replica's response.
pub struct ReplicaResponse {
    /// Status and headers.
    pub head: response::Parts,
    /// Body, whole or as a stream.
    pub body: ReplicaBody,
}

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// A response to forward.
    Response(ReplicaResponse),
    /// The replica ran the request and responded with a server error, which may be forwarded.
    ServerError(ReplicaResponse),
    /// No response to forward.
    NoResponse(AttemptEnd),
    /// Another instance, to which the request was passed on, refused it; it didn't run.
    Refused(LocalResponse),
}

/// Sends `request` to `replica` and reads the response, or just the head of a stream.
///
/// `turn`, that of a long prompt, ends when the prompt has been read; a replica that names a limit
/// gets nothing without a `permit`.
pub async fn run(
    request: &ForwardedRequest,
    replica: &BackendName,
    resume_after: Option<&str>,
    turn: Option<PromptTurn>,
    permit: Option<SendPermit>,
) -> AttemptOutcome {
    let node = &request.node;
    let Some((mut origin, cached_tokens)) = target(request, replica, permit.is_some()) else {
        return AttemptOutcome::NoResponse(AttemptEnd::NotSent);
    };
    let workload = request.head.needs.workload(cached_tokens);
    let key = request.head.needs.key.clone();
    let mut in_flight = ReplicaRequestGuard::start(node, replica, workload, key, turn, permit);
    let Some(connection) = connect(request, replica, origin.addr).await else {
        return AttemptOutcome::NoResponse(AttemptEnd::NotSent);
    };
    let sent_at = node.now();
    let (mut connection, response) = match send(request, replica, connection, resume_after).await {
        Ok(sent) => sent,
        Err(end) => {
            if end == AttemptEnd::MaybeRan {
                prompt_quarantine::on_crash(request, replica, origin.started_ms, false);
            }
            return AttemptOutcome::NoResponse(end);
        }
    };
    let mut progress = ResponseProgress::new(node.now());
    in_flight.on_response_begun();
    let (head, source) = response.into_parts();
    let parsed = node.protocol.decode_response_head(head.status, &head.headers);
    replica_signals::on_response(node, replica, origin.started_ms, sent_at, &parsed);
    if let Some(end) = proven_not_run(request, replica, &head, &parsed) {
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            in_flight.on_rejected();
        }
        drain_refusal(request, replica, origin.addr, connection, source, &head).await;
        return AttemptOutcome::NoResponse(end);
    }
    if !is_genuine(request, &head, &parsed) {
        record_failed_attempt(request, replica, AttemptFailure::Foreign, "");
        return AttemptOutcome::NoResponse(AttemptEnd::MaybeRan);
    }
    if parsed.claims_not_run && !request.route.kind.may_repeat() {
        let reason = AttemptFailure::UnprovenRefusal;
        record_failed_attempt(request, replica, reason, head.status.as_str());
        record_replica_failure(request, replica, SERVER_ERROR_WEIGHT);
        drain_refusal(request, replica, origin.addr, connection, source, &head).await;
        return AttemptOutcome::NoResponse(AttemptEnd::MaybeRan);
    }
    remember_prefix(request, replica);
    origin.keep_alive = keep_alive_time(&head);
    if request.route.kind.is_stream() && head.status == StatusCode::OK {
        let has_marked_end = has_marked_end(&head);
        let stream = OpenStream {
            source,
            has_marked_end,
            origin,
            in_flight,
            progress,
            connection,
            passing: None,
        };
        return AttemptOutcome::Response(ReplicaResponse {
            head,
            body: ReplicaBody::Stream(Box::new(stream)),
        });
    }
    let body = match body_reader::read(
        source,
        BufferKind::Answer,
        MAX_RESPONSE_BYTES,
        &node.pressure.buffers,
    )
    .await
    {
        Ok(body) => body,
        // The replica did nothing wrong.
        Err(BodyFailure::OutOfRoom) => {
            node.pressure.on_room_refused(&request.head.id);
            record_failed_attempt(request, replica, AttemptFailure::OutOfRoom, "");
            return AttemptOutcome::NoResponse(AttemptEnd::MaybeRan);
        }
        Err(BodyFailure::Broken | BodyFailure::TooLarge) => {
            let may_have_crashed = progress.may_have_crashed();
            prompt_quarantine::on_crash(request, replica, origin.started_ms, may_have_crashed);
            record_replica_failure(request, replica, 1.0);
            record_failed_attempt(request, replica, AttemptFailure::BrokenOff, "");
            return AttemptOutcome::NoResponse(AttemptEnd::MaybeRan);
        }
    };
    on_response_read(node, &origin, &mut connection);
    if head.status.is_success() && progress.on_end(has_marked_end(&head)) {
        prompt_quarantine::on_sound(request);
    }
    drop(in_flight);
    if let Some(limit) = origin.keep_alive {
        node.connection_pool.put_idle(node.now(), replica, origin.addr, connection, Some(limit));
    }
    let is_failure = head.status.is_server_error();
    let response = ReplicaResponse { head, body: ReplicaBody::Whole(body) };
    if is_failure {
        record_replica_failure(request, replica, SERVER_ERROR_WEIGHT);
        AttemptOutcome::ServerError(response)
    } else {
        AttemptOutcome::Response(response)
    }
}

/// Logs and counts an attempt without a response to forward.
pub fn record_failed_attempt(
    request: &ForwardedRequest,
    replica: &BackendName,
    reason: AttemptFailure,
    detail: &str,
) {
    request.node.metrics.on_attempt_failed(replica, reason);
    let (id, replica) = (request.head.id.as_str(), replica.as_str());
    record(&LogEvent::AttemptFailed { id, replica, reason, detail });
}

/// Logs and counts that a replica hasn't responded for long; the attempt stays open.
pub fn record_silence(request: &ForwardedRequest, replica: &BackendName, tries_another: bool) {
    request.node.metrics.on_attempt_failed(replica, AttemptFailure::Silent);
    let (id, replica, waited_ms) = (&request.head.id, replica.as_str(), request.waited_ms());
    record(&LogEvent::ReplicaSilent { id, replica, waited_ms, tries_another });
}

/// Adds a failure of this weight to a replica's score.
pub fn record_replica_failure(request: &ForwardedRequest, replica: &BackendName, weight: f64) {
    let now = request.node.now();
    if let Some(known) = request.node.replicas().get_mut(replica) {
        known.on_failure(now, weight);
    }
    notices::notify_owner_of_failure(&request.node, replica, weight);
}

/// The replica as it is known now, and tokens of the prompt that it has read before; `None` if it no
/// longer accepts the request.
fn target(
    request: &ForwardedRequest,
    replica: &BackendName,
    has_permit: bool,
) -> Option<(Origin, u64)> {
    let now = request.node.now();
    let replicas = request.node.replicas();
    let needs = &request.head.needs;
    let may_send = |known: &&Replica| {
        known.may_send(now)
            && known.runs(needs.software.as_ref())
            && (has_permit || !known.limits.needs_permit())
    };
    let known = replicas.get(replica).filter(may_send)?;
    let cached_tokens =
        needs.key.as_ref().map_or(0, |key| known.prefixes.cached_prefix_tokens(key, &needs.parts));
    let ReplicaEntry { addr, started_ms, software, .. } = &known.entry;
    let origin = Origin {
        replica: replica.clone(),
        addr: *addr,
        started_ms: *started_ms,
        software: software.clone(),
        keep_alive: None,
        is_remote: false,
    };
    Some((origin, cached_tokens))
}

async fn connect(
    request: &ForwardedRequest,
    replica: &BackendName,
    addr: SocketAddr,
) -> Option<Connection> {
    let (node, id) = (&request.node, &request.head.id);
    // A retry can't meet a late response to an earlier request on a new connection.
    let is_first = request.attempts().is_first();
    if request.route.kind.may_repeat()
        && is_first
        && let Some(idle) = node.connection_pool.take_idle(node.now(), replica, addr, id)
    {
        return Some(idle);
    }
    match ConnectionPool::connect(addr).await {
        Ok(connection) => {
            reach::on_connected(&request.node, replica);
            Some(connection)
        }
        Err(e) => {
            record_failed_attempt(request, replica, AttemptFailure::Unreachable, &e.to_string());
            reach::on_unreachable(&request.node, replica);
            notices::notify_owner_of_failure(&request.node, replica, 1.0);
            None
        }
    }
}

async fn send(
    request: &ForwardedRequest,
    replica: &BackendName,
    mut connection: Connection,
    resume_after: Option<&str>,
) -> Result<(Connection, Response<MeteredBody>), AttemptEnd> {
    let req = replica_request::build(request, replica, resume_after);
    connection.on_send(&request.head.id);
    match connection.send(req).await {
        Ok(response) => Ok((connection, response)),
        Err(mut failed) => {
            let unsent = failed.take_message().is_some();
            let error = failed.into_error();
            record_failed_attempt(request, replica, AttemptFailure::NoAnswer, &error.to_string());
            record_replica_failure(request, replica, 1.0);
            if unsent {
                return Err(AttemptEnd::NotSent);
            }
            request.on_broken_connection(replica);
            Err(AttemptEnd::MaybeRan)
        }
    }
}

/// How the attempt ended, if the response proves that the replica didn't run the request.
fn proven_not_run(
    request: &ForwardedRequest,
    replica: &BackendName,
    head: &response::Parts,
    parsed: &ResponseHead,
) -> Option<AttemptEnd> {
    let other_id = parsed.id.as_ref().is_some_and(|id| *id != request.head.id);
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    if other_id || !(parsed.not_run || misdirected) {
        return None;
    }
    let now = request.node.now();
    let mut replicas = request.node.replicas();
    if let Some(known) = replicas.get_mut(replica) {
        let is_other = parsed.replica.as_ref().is_some_and(|responding| responding != replica);
        match &request.head.needs.key {
            _ if misdirected && is_other => known.on_address_reused(),
            Some(key) if misdirected => known.on_missing(now, key),
            _ => known.on_failure(now, REFUSAL_WEIGHT),
        }
    }
    record_failed_attempt(request, replica, AttemptFailure::Refused, head.status.as_str());
    Some(AttemptEnd::NotRun)
}

/// Reads the body of a refusal to its end, so that the connection can be reused; closes the
/// connection if the body is too large or late.
async fn drain_refusal(
    request: &ForwardedRequest,
    replica: &BackendName,
    addr: SocketAddr,
    connection: Connection,
    source: MeteredBody,
    head: &response::Parts,
) {
    let Some(limit) = keep_alive_time(head) else { return };
    let node = &request.node;
    let body =
        body_reader::read(source, BufferKind::Answer, MAX_REFUSAL_BYTES, &node.pressure.buffers);
    if let Ok(Ok(_)) = timeout(REFUSAL_DRAIN_TIMEOUT, body).await {
        node.connection_pool.put_idle(node.now(), replica, addr, connection, Some(limit));
    }
}

/// Whether a response belongs to the request, comes from the replica itself and is a final one.
pub fn is_genuine(
    request: &ForwardedRequest,
    head: &response::Parts,
    parsed: &ResponseHead,
) -> bool {
    let right_id = parsed.id.as_ref().is_some_and(|id| *id == request.head.id);
    let sealed = parsed.is_sealed || !head.status.is_success();
    // No request asks for another protocol, so that one with status 101 is no answer to it.
    let is_final = (200..600).contains(&head.status.as_u16());
    right_id && sealed && is_final && !parsed.is_encoded
}

fn remember_prefix(request: &ForwardedRequest, replica: &BackendName) {
    let Some(key) = &request.head.needs.key else { return };
    let now = request.node.now();
    if let Some(known) = request.node.replicas().get_mut(replica) {
        known.prefixes.on_read(now, key, &request.head.needs.parts);
    }
}

fn on_response_read(node: &Node, origin: &Origin, connection: &mut Connection) {
    if !connection.sender.is_ready() {
        log::debug!(
            "connection to {} isn't ready for another request after its response",
            origin.replica
        );
    }
    if let Some(known) = node.replicas().get_mut(&origin.replica) {
        known.on_bytes_received(node.now());
    }
}

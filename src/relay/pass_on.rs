//! Passes a caller's request on to another instance, as this one reaches no replica.
//!
//! The attempts are still counted here: the other instance may let the request run once and doesn't pass
//! it on. It sends the replica's response back as it is, or says why there is none. If the
//! connection to it breaks, the request may have run.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::header;
use hyper::http::response;

use super::attempt;
use super::attempt::AttemptOutcome;
use super::attempt::ReplicaBody;
use super::attempt::ReplicaResponse;
use super::attempt_failure::AttemptFailure;
use super::body_reader;
use super::body_reader::BodyFailure;
use super::connection_pool::Connection;
use super::connection_pool::ConnectionPool;
use super::fleet_event::FleetEvent;
use super::forwarded_request::ForwardedRequest;
use super::log_event::record;
use super::node::Node;
use super::open_stream::OpenStream;
use super::origin::Origin;
use super::replica_request_guard::ReplicaRequestGuard;
use super::response::LocalResponse;
use super::response::end_to_end_headers;
use super::response_framing::has_marked_end;
use crate::decide::buffers::BufferKind;
use crate::decide::reach::PassOnCandidate;
use crate::decide::traffic::AttemptEnd;
use crate::decide::traffic::ResponseProgress;
use crate::edge::MeteredBody;
use crate::error::Result;
use crate::names::BackendName;
use crate::names::SoftwareVersion;
use crate::wire::frame::encode;
use crate::wire::pass_on::PASS_ON_PATH;
use crate::wire::pass_on::PassedOnRequest;
use crate::wire::pass_on::REASON_HEADER;
use crate::wire::software_header::SOFTWARE_HEADER;
use crate::wire::software_header::decode_software;

/// Counts a request as passed on to an instance until this guard is dropped.
pub struct Passing {
    node: Arc<Node>,
    peer: PassOnCandidate,
}

impl Passing {
    /// The other instance, as attempts name it.
    pub fn name(&self) -> BackendName {
        BackendName::new(self.peer.name.as_str())
    }

    /// Notes that the other instance doesn't serve the request, or that the connection to it broke, so
    /// that it may be about to end: it gets none for a while.
    pub fn on_unfit(&self) {
        self.node.pass_on_peers().on_unfit(self.node.now(), &self.peer.name);
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        self.node.pass_on_peers().on_ended(&self.peer.name);
    }
}

/// Chooses the instance that a request is passed on to; `None` if no other one may reach the replicas,
/// or if the request was passed on before.
pub fn choose(request: &ForwardedRequest) -> Option<Passing> {
    if request.is_passed_on {
        return None;
    }
    let node = &request.node;
    let now = node.now();
    let candidates = node.peers().that_reach(now, &request.service.name);
    let mut peers = node.pass_on_peers();
    let peer = peers.choose(now, &candidates, &request.head.id)?.clone();
    peers.on_begun(&peer.name);
    drop(peers);
    Some(Passing { node: Arc::clone(node), peer })
}

/// Passes `request` on and reads the response, or just the head of a stream.
pub async fn run(
    request: &ForwardedRequest,
    passing: Passing,
    resume_after: Option<&str>,
) -> AttemptOutcome {
    let node = &request.node;
    let name = passing.name();
    let (connection, response) = match send(request, &passing, resume_after).await {
        Ok(sent) => sent,
        Err(end) => {
            passing.on_unfit();
            return AttemptOutcome::NoResponse(end);
        }
    };
    let (mut head, source) = response.into_parts();
    if let Some(outcome) = refusal(request, &passing, &head) {
        return outcome;
    }
    let parsed = node.protocol.decode_response_head(head.status, &head.headers);
    if !attempt::is_genuine(request, &head, &parsed) {
        attempt::record_failed_attempt(request, &name, AttemptFailure::Foreign, "");
        return AttemptOutcome::NoResponse(AttemptEnd::MaybeRan);
    }
    let software = head.headers.remove(SOFTWARE_HEADER).as_ref().map(decode_software);
    let progress = ResponseProgress::new(node.now());
    if request.route.kind.is_stream() && head.status == StatusCode::OK {
        let origin = Origin {
            replica: name.clone(),
            addr: passing.peer.addr,
            started_ms: 0,
            software: software.unwrap_or_else(|| SoftwareVersion::new("")),
            keep_alive: None,
            is_remote: true,
        };
        let stream = OpenStream {
            source,
            has_marked_end: has_marked_end(&head),
            origin,
            in_flight: ReplicaRequestGuard::elsewhere(node, &name),
            progress,
            connection,
            passing: Some(passing),
        };
        let body = ReplicaBody::Stream(Box::new(stream));
        return AttemptOutcome::Response(ReplicaResponse { head, body });
    }
    let body = match body_reader::read(
        source,
        BufferKind::Answer,
        attempt::MAX_RESPONSE_BYTES,
        &node.pressure.buffers,
    )
    .await
    {
        Ok(body) => body,
        Err(BodyFailure::OutOfRoom) => {
            node.pressure.on_room_refused(&request.head.id);
            attempt::record_failed_attempt(request, &name, AttemptFailure::OutOfRoom, "");
            return AttemptOutcome::NoResponse(AttemptEnd::MaybeRan);
        }
        Err(BodyFailure::Broken | BodyFailure::TooLarge) => {
            passing.on_unfit();
            attempt::record_failed_attempt(request, &name, AttemptFailure::BrokenOff, "");
            return AttemptOutcome::NoResponse(AttemptEnd::MaybeRan);
        }
    };
    let is_failure = head.status.is_server_error();
    let response = ReplicaResponse { head, body: ReplicaBody::Whole(body) };
    if is_failure {
        AttemptOutcome::ServerError(response)
    } else {
        AttemptOutcome::Response(response)
    }
}

async fn send(
    request: &ForwardedRequest,
    passing: &Passing,
    resume_after: Option<&str>,
) -> std::result::Result<(Connection, hyper::Response<MeteredBody>), AttemptEnd> {
    let name = passing.name();
    let fail = |reason, detail: &str| {
        attempt::record_failed_attempt(request, &name, reason, detail);
    };
    let req = match build(request, resume_after) {
        Ok(req) => req,
        Err(e) => {
            fail(AttemptFailure::Unreachable, &e.to_string());
            return Err(AttemptEnd::NotSent);
        }
    };
    let mut connection = match ConnectionPool::connect(passing.peer.addr).await {
        Ok(connection) => connection,
        Err(e) => {
            fail(AttemptFailure::Unreachable, &e.to_string());
            return Err(AttemptEnd::NotSent);
        }
    };
    match connection.send(req).await {
        Ok(response) => Ok((connection, response)),
        Err(mut failed) => {
            let unsent = failed.take_message().is_some();
            fail(AttemptFailure::NoAnswer, &failed.into_error().to_string());
            Err(if unsent { AttemptEnd::NotSent } else { AttemptEnd::MaybeRan })
        }
    }
}

fn build(request: &ForwardedRequest, resume_after: Option<&str>) -> Result<Request<Full<Bytes>>> {
    let mut headers = end_to_end_headers(&request.parts.headers);
    request.node.protocol.set_account(&mut headers, request.caller_account.header());
    let headers = headers
        .iter()
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())));
    let mut tried = request.attempts().tried().to_vec();
    tried.retain(|replica| !request.node.replicas().is_out_of_reach(replica));
    let message = PassedOnRequest {
        from: request.node.settings.instance.clone(),
        method: request.parts.method.to_string(),
        uri: request.path.to_string(),
        headers: headers.collect(),
        body: request.body.clone(),
        has_length: request.has_length,
        service: request.service.name.clone(),
        time_left_ms: u64::try_from(request.time_until_deadline().as_millis()).unwrap_or(u64::MAX),
        resume_after: resume_after.map(str::to_owned),
        software: request.head.needs.software.clone(),
        tried,
        is_probe: request.is_probe,
        account: request.caller_account.to_passed_on(request.utilisation),
    };
    let body = encode(&message)?;
    let mut req = Request::new(Full::new(body.clone()));
    *req.method_mut() = hyper::Method::POST;
    *req.uri_mut() = hyper::Uri::from_static(PASS_ON_PATH);
    req.headers_mut().insert(header::HOST, header::HeaderValue::from_static("peer"));
    req.headers_mut().insert(header::CONTENT_LENGTH, body.len().into());
    Ok(req)
}

/// How the attempt ended, if the other instance generated the response itself.
fn refusal(
    request: &ForwardedRequest,
    passing: &Passing,
    head: &response::Parts,
) -> Option<AttemptOutcome> {
    let reason = head.headers.get(REASON_HEADER).map(|value| value.to_str().unwrap_or_default());
    let is_unknown_path = reason.is_none()
        && matches!(head.status, StatusCode::NOT_FOUND | StatusCode::BAD_REQUEST)
        && !attempt::is_genuine(
            request,
            head,
            &request.node.protocol.decode_response_head(head.status, &head.headers),
        );
    let (id, by) = (request.head.id.as_str(), passing.peer.name.as_str());
    let reason = if is_unknown_path { "NoRoute" } else { reason? };
    record(&FleetEvent::PassedOnRefused { id, by, reason });
    Some(match LocalResponse::from_reason(reason) {
        Some(
            response @ (LocalResponse::Unauthorized
            | LocalResponse::Undecided
            | LocalResponse::NotRun
            | LocalResponse::NotYet(_)
            | LocalResponse::OverQuota(_)),
        ) => AttemptOutcome::Refused(response),
        Some(LocalResponse::Unknown | LocalResponse::TimedOut) | None => {
            AttemptOutcome::NoResponse(AttemptEnd::MaybeRan)
        }
        Some(
            LocalResponse::Malformed
            | LocalResponse::NoRoute
            | LocalResponse::TooLarge
            | LocalResponse::OutOfRoom
            | LocalResponse::NotReady(_)
            | LocalResponse::OutOfReach,
        ) => {
            passing.on_unfit();
            AttemptOutcome::NoResponse(AttemptEnd::NotSent)
        }
    })
}

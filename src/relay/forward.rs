//! Admission of callers' requests: parses the head, finds the route and reads the body.
//!
//! A request is refused here, before any replica gets it, if its head can't be parsed, while the
//! relay shuts down or has no configuration, if no route matches, if its body can't be read or is
//! too large, and if it is suspected of crashing replicas.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::request;
use xxhash_rust::xxh3::xxh3_64;

use super::RequestHead;
use super::forwarded_request::ForwardedRequest;
use super::forwarded_request::host_of;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use super::prompt_quarantine;
use super::prompt_quarantine::QuarantineCheck;
use super::response::LocalResponse;
use super::response::ResponseBody;
use super::response::end_to_end_headers;
use crate::decide::traffic::Attempts;
use crate::decide::traffic::Route;
use crate::decide::traffic::Service;
use crate::decide::traffic::TrafficConfig;
use crate::decide::traffic::WaitBudget;
use crate::names::Timestamp;

/// Counts a caller's request as in progress until this guard is dropped.
pub struct CallerRequestGuard(Arc<Node>);

impl CallerRequestGuard {
    /// Adds a request to those in progress.
    pub fn new(node: &Arc<Node>) -> Self {
        node.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(node))
    }
}

impl Drop for CallerRequestGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves one request of a caller; refusals are logged and counted.
pub async fn serve(node: Arc<Node>, req: Request<Incoming>) -> Response<ResponseBody> {
    let counted = CallerRequestGuard::new(&node);
    let arrived = node.now();
    let (parts, body) = req.into_parts();
    let head = match node.protocol.decode_request_head(&parts) {
        Ok(head) => head,
        Err(error) => {
            let (outcome, detail) = ("Malformed", error.to_string());
            record(&LogEvent::RequestRefused { id: "", outcome, config: 0, detail: &detail });
            node.metrics.on_refusal(outcome);
            return LocalResponse::Malformed.into_response(&*node.protocol, "");
        }
    };
    let id = head.id.clone();
    let config = node.current_config();
    let path = parts.uri.path().to_owned();
    let (protocol, metrics_node) = (Arc::clone(&node.protocol), Arc::clone(&node));
    match admit(node, head, parts, body, arrived, counted).await {
        Ok(request) => request.run().await,
        Err(local_response) => {
            let config = config.map_or(0, |config| config.version);
            let outcome = local_response.name();
            record(&LogEvent::RequestRefused { id: &id, outcome, config, detail: &path });
            metrics_node.metrics.on_refusal(outcome);
            local_response.into_response(&*protocol, &id)
        }
    }
}

/// Finds the route and service of a request and reads its body.
async fn admit(
    node: Arc<Node>,
    head: RequestHead,
    parts: request::Parts,
    body: Incoming,
    arrived: Timestamp,
    counted: CallerRequestGuard,
) -> Result<ForwardedRequest, LocalResponse> {
    if !node.accepts_requests() {
        return Err(LocalResponse::NotRun);
    }
    let config = node.current_config().ok_or(LocalResponse::NotReady)?;
    let (route, service) = match_route(&config, &head, &parts)?;
    let has_length = parts.headers.contains_key(header::CONTENT_LENGTH)
        || parts.headers.contains_key(header::TRANSFER_ENCODING);
    let body = Limited::new(body, config.max_body_bytes).collect().await;
    let body = body.map_err(|e| body_error_response(&*e))?.to_bytes();
    let now = node.now();
    let fingerprint = fingerprint(&parts, &body);
    if node.crash_guard().refuses(now, fingerprint) {
        let (id, outcome, sends, waited_ms) = (head.id.as_str(), "Quarantined", 0, 0);
        record(&LogEvent::RequestEnded { id, outcome, sends, waited_ms });
        return Err(LocalResponse::NotRun);
    }
    let check = prompt_quarantine::check(&node, now, &head.id, head.needs.shared_parts());
    if let QuarantineCheck::Refused(left) = check {
        let spread = xxh3_64(head.id.as_bytes());
        return Err(LocalResponse::NotYet(WaitBudget::retry_after(left, spread)));
    }
    node.retry_share().on_request(now, &service.name);
    let path = origin_form(&parts);
    let headers = end_to_end_headers(&parts.headers);
    let attempts = Attempts::new(route.kind, route.attempts);
    Ok(ForwardedRequest {
        node,
        head,
        parts,
        headers,
        path,
        body,
        has_length,
        route,
        service,
        accepted_under: config.version,
        attempts: Mutex::new(attempts),
        arrived,
        is_probe: check == QuarantineCheck::Probe,
        fingerprint,
        _caller_request_guard: counted,
    })
}

fn match_route(
    config: &TrafficConfig,
    head: &RequestHead,
    parts: &request::Parts,
) -> Result<(Arc<Route>, Arc<Service>), LocalResponse> {
    let route = config.route(host_of(parts), parts.uri.path()).ok_or(LocalResponse::NoRoute)?;
    let name = route.service_for(&head.id).ok_or(LocalResponse::NotRun)?;
    let service = config.service(name).ok_or(LocalResponse::NotRun)?;
    Ok((Arc::clone(route), Arc::clone(service)))
}

fn origin_form(parts: &request::Parts) -> Uri {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}

fn body_error_response(error: &(dyn std::error::Error + Send + Sync + 'static)) -> LocalResponse {
    if error.is::<LengthLimitError>() { LocalResponse::TooLarge } else { LocalResponse::Malformed }
}

fn fingerprint(parts: &request::Parts, body: &Bytes) -> u64 {
    xxh3_64(body) ^ xxh3_64(parts.uri.path().as_bytes()).rotate_left(1)
}

//! The way of a caller's request into the relay: its route and its body.

use std::sync::Arc;
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
use super::answer::AnswerBody;
use super::answer::Refusal;
use super::answer::end_to_end;
use super::event::LogEvent;
use super::event::record;
use super::job::Job;
use super::job::host_of;
use super::node::Node;
use crate::decide::traffic::Attempts;
use crate::decide::traffic::Route;
use crate::decide::traffic::Service;
use crate::decide::traffic::TrafficConfig;
use crate::names::Timestamp;

/// Counts a request until it is dropped.
pub struct Counted(Arc<Node>);

impl Counted {
    /// Counts a request.
    pub fn new(node: &Arc<Node>) -> Self {
        node.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(node))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves one request of a caller.
pub async fn serve(node: Arc<Node>, req: Request<Incoming>) -> Response<AnswerBody> {
    let counted = Counted::new(&node);
    let arrived = node.now();
    let (head, body) = req.into_parts();
    let call = match node.protocol.read_request_head(&head) {
        Ok(call) => call,
        Err(fault) => {
            let (outcome, detail) = ("Malformed", fault.to_string());
            record(&LogEvent::RequestRefused { id: "", outcome, config: 0, detail: &detail });
            node.metrics.on_refusal(outcome);
            return Refusal::Malformed.answer(&*node.protocol, "");
        }
    };
    let id = call.id.clone();
    let config = node.current_config();
    let path = head.uri.path().to_owned();
    let (protocol, kept) = (Arc::clone(&node.protocol), Arc::clone(&node));
    match accept(node, call, head, body, arrived, counted).await {
        Ok(job) => job.run().await,
        Err(refusal) => {
            let config = config.map_or(0, |config| config.version);
            let outcome = refusal.name();
            record(&LogEvent::RequestRefused { id: &id, outcome, config, detail: &path });
            kept.metrics.on_refusal(outcome);
            refusal.answer(&*protocol, &id)
        }
    }
}

/// Reads a request and finds its route.
async fn accept(
    node: Arc<Node>,
    call: RequestHead,
    head: request::Parts,
    body: Incoming,
    arrived: Timestamp,
    counted: Counted,
) -> Result<Job, Refusal> {
    if !node.takes_work() {
        return Err(Refusal::NotRun);
    }
    let config = node.current_config().ok_or(Refusal::NotReady)?;
    let (route, service) = find(&config, &call, &head)?;
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    let body = Limited::new(body, config.max_body_bytes).collect().await;
    let body = body.map_err(|e| body_refusal(&*e))?.to_bytes();
    let now = node.now();
    let fingerprint = fingerprint(&head, &body);
    if node.crashes().refuses(now, fingerprint) {
        let (id, outcome, sends, waited_ms) = (call.id.as_str(), "Quarantined", 0, 0);
        record(&LogEvent::RequestEnded { id, outcome, sends, waited_ms });
        return Err(Refusal::NotRun);
    }
    node.retries().on_request(now, &service.name);
    let path = origin_form(&head);
    let headers = end_to_end(&head.headers);
    let attempts = Attempts::new(route.kind, route.attempts);
    Ok(Job {
        node,
        call,
        head,
        headers,
        path,
        body,
        has_length,
        route,
        service,
        attempts,
        arrived,
        fingerprint,
        _counted: counted,
    })
}

fn find(
    config: &TrafficConfig,
    call: &RequestHead,
    head: &request::Parts,
) -> Result<(Arc<Route>, Arc<Service>), Refusal> {
    let route = config.route(host_of(head), head.uri.path()).ok_or(Refusal::NoRoute)?;
    let name = route.service_for(&call.id).ok_or(Refusal::NotRun)?;
    let service = config.service(name).ok_or(Refusal::NotRun)?;
    Ok((Arc::clone(route), Arc::clone(service)))
}

fn origin_form(head: &request::Parts) -> Uri {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}

fn body_refusal(error: &(dyn std::error::Error + Send + Sync + 'static)) -> Refusal {
    if error.is::<LengthLimitError>() { Refusal::TooLarge } else { Refusal::Malformed }
}

fn fingerprint(head: &request::Parts, body: &Bytes) -> u64 {
    xxh3_64(body) ^ xxh3_64(head.uri.path().as_bytes()).rotate_left(1)
}

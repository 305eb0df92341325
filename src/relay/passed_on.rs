//! Serves requests that another instance, which reaches no replica, passes on.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request;

use super::RequestHead;
use super::caller_account::CallerAccount;
use super::first_config;
use super::fleet_event::FleetEvent;
use super::forward;
use super::forward::Admission;
use super::forward::CallerRequestGuard;
use super::forward::PassedOnTerms;
use super::forwarded_request::ForwardedRequest;
use super::forwarded_request::host_of;
use super::log_event::record;
use super::node::Node;
use super::request_deadline::RequestDeadline;
use super::response::LocalResponse;
use super::response::ResponseBody;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::SoftwareVersion;
use crate::wire::pass_on::PassedOnAccount;
use crate::wire::pass_on::PassedOnRequest;
use crate::wire::pass_on::REASON_HEADER;
use crate::wire::software_header::SOFTWARE_HEADER;
use crate::wire::software_header::encode_software;

/// Counts a request of another instance as in progress until this guard is dropped.
pub struct TakenRequestGuard(Arc<Node>);

impl Drop for TakenRequestGuard {
    fn drop(&mut self) {
        self.0.pass_on_peers().on_taken_ended();
    }
}

/// Sends a request that was passed on to a replica; the response says by a header if it isn't the
/// replica's.
///
/// # Errors
///
/// `Malformed` if the message holds no request.
pub async fn serve(node: &Arc<Node>, message: PassedOnRequest) -> Result<Response<ResponseBody>> {
    let parts = parts_of(&message)?;
    let malformed = |detail: String| Error::new(ErrorKind::Malformed, detail);
    let head = node.protocol.decode_request_head(&parts).map_err(|e| malformed(e.to_string()))?;
    let id = head.id.clone();
    record(&FleetEvent::RequestTaken { id: &id, from: message.from.as_str() });
    let mut response = match admit(node, head, parts, message) {
        Ok(request) => request.run().await,
        Err(local_response) => local_response.into_response(&*node.protocol, &id),
    };
    let reason = response.extensions().get::<LocalResponse>().map(|local| local.to_reason());
    if let Some(reason) = reason.and_then(|reason| HeaderValue::try_from(reason).ok()) {
        response.headers_mut().insert(REASON_HEADER, reason);
    }
    let software = response.extensions().get::<SoftwareVersion>();
    if let Some(software) = software.map(encode_software) {
        response.headers_mut().insert(SOFTWARE_HEADER, software);
    }
    Ok(response)
}

fn admit(
    node: &Arc<Node>,
    mut head: RequestHead,
    parts: request::Parts,
    message: PassedOnRequest,
) -> std::result::Result<ForwardedRequest, LocalResponse> {
    let PassedOnRequest { body, has_length, service, time_left_ms, tried, is_probe, .. } = message;
    head.caller_timeout = Some(Duration::from_millis(time_left_ms));
    head.resume_after = message.resume_after;
    head.needs.software = message.software;
    if !node.accepts_requests() {
        return Err(LocalResponse::OutOfReach);
    }
    let config =
        node.current_config().ok_or_else(|| first_config::not_ready(node.now(), &head.id))?;
    let route = config.route(host_of(&parts), parts.uri.path()).ok_or(LocalResponse::NoRoute)?;
    let service = config.service_or_former(&service).ok_or(LocalResponse::NoRoute)?;
    let utilisation = message.account.as_ref().map_or(0.0, PassedOnAccount::utilisation);
    let caller_account = match message.account {
        Some(account) => CallerAccount::of_passed_on(account),
        None => CallerAccount::check(node, &config, route, &head.credential)?,
    };
    let counted = CallerRequestGuard::new(node);
    let taken = node.pass_on_peers().taken();
    let own = node.in_flight.load(Ordering::Relaxed).saturating_sub(taken);
    if !node.pass_on_peers().try_take(own) {
        return Err(LocalResponse::OutOfReach);
    }
    let terms =
        PassedOnTerms { tried, is_probe, utilisation, _guard: TakenRequestGuard(Arc::clone(node)) };
    let arrived = node.now();
    let deadline = RequestDeadline::new(node, route, &parts, head.caller_timeout, arrived);
    forward::accept(Admission {
        node: Arc::clone(node),
        head,
        parts,
        body,
        has_length,
        route: Arc::clone(route),
        service: Arc::clone(service),
        caller_account,
        charge: None,
        accepted_under: config.version,
        arrived,
        deadline,
        counted,
        passed_on: Some(terms),
    })
}

/// Head of the request as the other instance got it from its caller.
fn parts_of(message: &PassedOnRequest) -> Result<request::Parts> {
    let malformed = |detail: &str| Error::new(ErrorKind::Malformed, detail);
    let mut headers = HeaderMap::new();
    for (name, value) in &message.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| malformed("header name"))?;
        let value = HeaderValue::from_bytes(value).map_err(|_| malformed("header value"))?;
        headers.append(name, value);
    }
    let (mut parts, _) = Request::new(Bytes::new()).into_parts();
    parts.method =
        Method::from_bytes(message.method.as_bytes()).map_err(|_| malformed("method"))?;
    parts.uri = message.uri.parse::<Uri>().map_err(|_| malformed("path"))?;
    parts.headers = headers;
    Ok(parts)
}

//! Admission of callers' requests: parses the head, finds the route and reads the body.
//!
//! A request is refused here, before any replica gets it, if its head can't be parsed, while the
//! relay shuts down or has had no configuration for a while, if no route matches, if it needs an API key and has no
//! valid one, if its body can't be read or is too large, if its account is over its quota, and if it is
//! suspected of crashing replicas.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::header;
use hyper::http::request;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::RequestHead;
use super::body_reader;
use super::caller_account::CallerAccount;
use super::caller_account::RefusedKey;
use super::connection_activity::ConnectionActivity;
use super::first_config;
use super::forwarded_request::ForwardedRequest;
use super::forwarded_request::host_of;
use super::log_event::LogEvent;
use super::log_event::record;
use super::node::Node;
use super::passed_on::TakenRequestGuard;
use super::prompt_quarantine;
use super::prompt_quarantine::QuarantineCheck;
use super::quotas;
use super::quotas::QuotaCharge;
use super::request_deadline::RequestDeadline;
use super::response::LocalResponse;
use super::response::ResponseBody;
use super::response::end_to_end_headers;
use crate::decide::buffers::BufferKind;
use crate::decide::traffic::Attempts;
use crate::decide::traffic::Route;
use crate::decide::traffic::Service;
use crate::decide::traffic::TrafficConfig;
use crate::decide::traffic::WaitBudget;
use crate::decide::transfer::LagVerdict;
use crate::edge::MeteredBody;
use crate::names::BackendName;
use crate::names::Timestamp;

/// Time within which the body of a refused request must have arrived to be read to its end.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

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
pub async fn serve(node: Arc<Node>, req: Request<MeteredBody>) -> Response<ResponseBody> {
    let counted = CallerRequestGuard::new(&node);
    let arrived = node.now();
    let (parts, body) = req.into_parts();
    let head = match node.protocol.decode_request_head(&parts) {
        Ok(head) => head,
        Err(error) => {
            let (outcome, detail) = ("Malformed", error.to_string());
            record(&LogEvent::RequestRefused {
                id: "",
                outcome,
                config: 0,
                detail: &detail,
                key: None,
            });
            node.metrics.on_refusal(outcome);
            return LocalResponse::Malformed.into_response(&*node.protocol, "");
        }
    };
    let (id, credential) = (head.id.clone(), head.credential);
    let config = node.current_config();
    let path = parts.uri.path().to_owned();
    match admit(Arc::clone(&node), head, parts, body, arrived, counted).await {
        Ok(request) => request.run().await,
        Err(local_response) => {
            let config = config.map_or(0, |config| config.version);
            let outcome = local_response.name();
            let (detail, key) = (&path, RefusedKey::of(&node, &credential, local_response));
            match local_response {
                LocalResponse::OutOfRoom => node.pressure.on_room_refused(&id),
                _ => record(&LogEvent::RequestRefused { id: &id, outcome, config, detail, key }),
            }
            node.metrics.on_refusal(outcome);
            local_response.into_response(&*node.protocol, &id)
        }
    }
}

/// Finds the route, account and service of a request and reads its body.
async fn admit(
    node: Arc<Node>,
    head: RequestHead,
    mut parts: request::Parts,
    body: MeteredBody,
    arrived: Timestamp,
    counted: CallerRequestGuard,
) -> Result<ForwardedRequest, LocalResponse> {
    if !node.accepts_requests() {
        return Err(LocalResponse::NotRun);
    }
    let config = first_config::get(&node.config, || node.now(), &head.id).await?;
    let route = config.route(host_of(&parts), parts.uri.path());
    let propagation = node.settings.freshness_limits().propagation;
    if let LagVerdict::Refuse(retry_after) = node.config_lag().verdict(route.is_some(), propagation)
    {
        return Err(LocalResponse::NotYet(retry_after));
    }
    let route = Arc::clone(route.ok_or(LocalResponse::NoRoute)?);
    let caller_account = match CallerAccount::check(&node, &config, &route, &head.credential) {
        Ok(caller_account) => caller_account,
        Err(local_response) => {
            discard_body(&parts, body, config.max_body_bytes).await;
            return Err(local_response);
        }
    };
    let service = service_of(&config, &route, &head.id)?;
    let has_length = parts.headers.contains_key(header::CONTENT_LENGTH)
        || parts.headers.contains_key(header::TRANSFER_ENCODING);
    let deadline = RequestDeadline::new(&node, &route, &parts, head.caller_timeout, arrived);
    let body = tokio::select! {
        body = body_reader::read(body, BufferKind::Request, config.max_body_bytes, &node.pressure.buffers) => body?,
        () = deadline.passed() => return Err(LocalResponse::NotRun),
        () = node.until_last_responses() => return Err(LocalResponse::NotRun),
    };
    if let Some(activity) = parts.extensions.remove::<Arc<ConnectionActivity>>() {
        activity.on_body_read();
    }
    let caller_account = check_again(&node, &route, &head, caller_account)?;
    let charge = charge_account(&node, &caller_account, &head).await?;
    if let Some(account) = caller_account.account() {
        node.metrics.accounts.on_admitted(account, head.tokens);
    }
    accept(Admission {
        node,
        head,
        parts,
        body,
        has_length,
        route,
        service,
        caller_account,
        charge,
        accepted_under: config.version,
        arrived,
        deadline,
        counted,
        passed_on: None,
    })
}

/// A request that was read, with the terms of the configuration under which it is accepted.
pub struct Admission {
    /// Shared state of the relay.
    pub node: Arc<Node>,
    /// What the protocol read from its headers.
    pub head: RequestHead,
    /// Method, URI and headers as received.
    pub parts: request::Parts,
    /// Whole body.
    pub body: Bytes,
    /// Whether the request declared a body.
    pub has_length: bool,
    /// Route that it matches.
    pub route: Arc<Route>,
    /// Service that its route leads to.
    pub service: Arc<Service>,
    /// Account that it runs for.
    pub caller_account: CallerAccount,
    /// Its cost, as charged to the quota of the account; `None` if nothing was charged here.
    pub charge: Option<QuotaCharge>,
    /// Version of the configuration that the route is from.
    pub accepted_under: u64,
    /// Time of arrival.
    pub arrived: Timestamp,
    /// Its time limit.
    pub deadline: RequestDeadline,
    /// Counts it among the requests in progress.
    pub counted: CallerRequestGuard,
    /// Terms of the instance that passed it on; `None` if it came from a caller.
    pub passed_on: Option<PassedOnTerms>,
}

/// What the instance that passes a request on says of it.
pub struct PassedOnTerms {
    /// Replicas that the request was sent to before.
    pub tried: Vec<BackendName>,
    /// Whether it may be sent although a part of its prompt is quarantined.
    pub is_probe: bool,
    /// Share of its quota that the account uses.
    pub utilisation: f32,
    /// Counts it among the requests of other instances.
    pub _guard: TakenRequestGuard,
}

/// Accepts a request, unless it is suspected of crashing replicas.
///
/// # Errors
///
/// The relay's own response, if it is refused.
pub fn accept(admission: Admission) -> Result<ForwardedRequest, LocalResponse> {
    let Admission { node, head, parts, body, route, service, passed_on, .. } = admission;
    let now = node.now();
    let fingerprint = fingerprint(&parts, &body);
    if node.crash_guard().refuses(now, fingerprint) {
        let (id, outcome, sends, waited_ms) = (head.id.as_str(), "Quarantined", 0, 0);
        record(&LogEvent::RequestEnded { id, outcome, sends, waited_ms });
        return Err(LocalResponse::NotRun);
    }
    let is_remote_probe = passed_on.as_ref().is_some_and(|terms| terms.is_probe);
    let check = if is_remote_probe {
        QuarantineCheck::Probe
    } else {
        prompt_quarantine::check(&node, now, &head.id, head.needs.shared_parts())
    };
    if let QuarantineCheck::Refused(left) = check {
        let spread = xxh3_64(head.id.as_bytes());
        return Err(LocalResponse::NotYet(WaitBudget::retry_after(left, spread)));
    }
    let path = origin_form(&parts);
    let headers = end_to_end_headers(&parts.headers);
    let attempts = match &passed_on {
        Some(terms) => Attempts::passed_on(route.kind, terms.tried.clone()),
        None => {
            // The instance that passes a request on has counted it.
            node.retry_share().on_request(now, &service.name);
            Attempts::new(route.kind, route.attempts)
        }
    };
    let of_charge = admission.charge.as_ref().map(QuotaCharge::utilisation);
    let utilisation = of_charge.or(passed_on.as_ref().map(|terms| terms.utilisation));
    Ok(ForwardedRequest {
        node,
        head,
        parts,
        headers,
        path,
        body,
        has_length: admission.has_length,
        route,
        service,
        caller_account: admission.caller_account,
        charge: admission.charge,
        utilisation: utilisation.unwrap_or_default(),
        accepted_under: admission.accepted_under,
        deadline: Arc::new(admission.deadline),
        attempts: Mutex::new(attempts),
        arrived: admission.arrived,
        is_probe: check == QuarantineCheck::Probe,
        is_passed_on: passed_on.is_some(),
        fingerprint,
        _caller_request_guard: admission.counted,
        _taken_request_guard: passed_on.map(|terms| terms._guard),
    })
}

/// Reads the body of a refused request to its end if that comes soon. Closing a connection on which
/// data is still arriving resets it, and the caller may then lose the response.
async fn discard_body(parts: &request::Parts, body: MeteredBody, max_bytes: usize) {
    // Such a caller sends its body only once it is told to.
    if parts.headers.contains_key(header::EXPECT) {
        return;
    }
    let mut body = Limited::new(body, max_bytes);
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    let _ = timeout(DISCARD_TIMEOUT, read).await;
}

/// Checks the API key of an account's request once more after the body was read: it may have been sent
/// long after the head, and the key may have been revoked meanwhile.
///
/// # Errors
///
/// The relay's own response, if the request must not run.
fn check_again(
    node: &Node,
    route: &Route,
    head: &RequestHead,
    before: CallerAccount,
) -> Result<CallerAccount, LocalResponse> {
    if before.account().is_none() {
        return Ok(before);
    }
    let config =
        node.current_config().ok_or_else(|| first_config::not_ready(node.now(), &head.id))?;
    match CallerAccount::check(node, &config, route, &head.credential)? {
        // The key must not go to a replica, even if the deployment has just given up its accounts.
        CallerAccount::Unused => Ok(before),
        checked => Ok(checked),
    }
}

/// Charges a request to the quota of its account; `None` if there is no quota.
async fn charge_account(
    node: &Arc<Node>,
    caller_account: &CallerAccount,
    head: &RequestHead,
) -> Result<Option<QuotaCharge>, LocalResponse> {
    let Some(account) = caller_account.account() else { return Ok(None) };
    let Some(quota) = &account.quota else { return Ok(None) };
    quotas::charge(node, account, quota, quota.cost(head.tokens), &head.id).await.map(Some)
}

fn service_of(
    config: &TrafficConfig,
    route: &Route,
    id: &str,
) -> Result<Arc<Service>, LocalResponse> {
    let name = route.service_for(id).ok_or(LocalResponse::NotRun)?;
    config.service(name).map(Arc::clone).ok_or(LocalResponse::NotRun)
}

fn origin_form(parts: &request::Parts) -> Uri {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}

fn fingerprint(parts: &request::Parts, body: &Bytes) -> u64 {
    xxh3_64(body) ^ xxh3_64(parts.uri.path().as_bytes()).rotate_left(1)
}

//! One caller's request on its way through the relay: what it needs, its time limit and its
//! attempts.
//!
//! [`AttemptRace`] finds replicas and sends the request until one responds; [`StreamRelay`] forwards a
//! response that is a stream.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::Uri;
use hyper::header;
use hyper::http::request;
use xxhash_rust::xxh3::xxh3_64;

use super::PublishedTopic;
use super::RequestHead;
use super::attempt::ReplicaBody;
use super::attempt::ReplicaResponse;
use super::attempt_race::AttemptRace;
use super::caller_account::CallerAccount;
use super::first_config;
use super::forward::CallerRequestGuard;
use super::log_event::LogEvent;
use super::log_event::record;
use super::metrics::Outcome;
use super::node::Node;
use super::passed_on::TakenRequestGuard;
use super::quotas::QuotaCharge;
use super::request_deadline::RequestDeadline;
use super::response::LocalResponse;
use super::response::ResponseBody;
use super::response::forwarded_response;
use super::response::full_body;
use super::resumption;
use super::stream_relay::StreamRelay;
use crate::decide::quotas::FairRank;
use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::Attempts;
use crate::decide::traffic::FinalOutcome;
use crate::decide::traffic::NextAttempt;
use crate::decide::traffic::Route;
use crate::decide::traffic::Service;
use crate::decide::traffic::WaitBudget;
use crate::names::BackendName;
use crate::names::Timestamp;

/// A caller's request with its route and its attempts.
pub struct ForwardedRequest {
    /// Shared state of the relay.
    pub node: Arc<Node>,
    /// What the protocol read from its headers.
    pub head: RequestHead,
    /// Method, URI and headers as received.
    pub parts: request::Parts,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Path and query.
    pub path: Uri,
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
    /// Share of its quota that the account uses over all instances.
    pub utilisation: f32,
    /// Version of the configuration that the route is from.
    pub accepted_under: u64,
    /// Its time limit.
    pub deadline: Arc<RequestDeadline>,
    /// Attempts so far.
    pub attempts: Mutex<Attempts>,
    /// Time of arrival.
    pub arrived: Timestamp,
    /// Whether it may be sent although a part of its prompt is quarantined.
    pub is_probe: bool,
    /// Whether another instance passed it on, so that it isn't passed on again.
    pub is_passed_on: bool,
    /// Hash of path and body, by which the crash guard knows the request.
    pub fingerprint: u64,
    /// Counts it among the requests in progress.
    pub _caller_request_guard: CallerRequestGuard,
    /// Counts it among the requests of other instances; `None` if it came from a caller.
    pub _taken_request_guard: Option<TakenRequestGuard>,
}

impl ForwardedRequest {
    /// Forwards the request and returns the response to the caller.
    pub async fn run(mut self) -> Response<ResponseBody> {
        let resume_after = self.head.resume_after.clone();
        let response = match resumption::obtain_first_response(&mut self).await {
            Ok(response) => response,
            Err(local_response) => return self.end(local_response),
        };
        let (kind, waited) = (self.route.kind, self.node.now().since(self.arrived));
        self.node.metrics.on_first_byte(kind, waited);
        match response.body {
            ReplicaBody::Whole(bytes) => {
                let failed = response.head.status.is_server_error();
                let outcome = if failed { Outcome::Failed } else { Outcome::Answered };
                self.node.metrics.on_request_end(kind, outcome);
                let length = bytes.len();
                forwarded_response(&response.head, full_body(bytes), Some(length))
            }
            ReplicaBody::Stream(stream) => {
                let software = stream.origin.software.clone();
                let body = StreamRelay::new(self, *stream, resume_after).into_body();
                let mut response = forwarded_response(&response.head, body, None);
                response.extensions_mut().insert(software);
                response
            }
        }
    }

    /// Tries replicas until one sends a response that can be forwarded, or the time limit is over.
    ///
    /// # Errors
    ///
    /// The relay's own response, if no replica's can be forwarded.
    pub async fn obtain_response(
        &self,
        resume_after: Option<&str>,
    ) -> Result<ReplicaResponse, LocalResponse> {
        AttemptRace::new(self, resume_after).run().await
    }

    /// Completes when a response is due at last: at the time limit, or shortly before a shutdown
    /// ends the process.
    pub async fn until_response_is_due(&self) {
        tokio::select! {
            () = self.until_deadline() => self.record_deadline(),
            () = self.node.until_last_responses() => {}
        }
    }

    /// Priority that a replica gets, 0 the most urgent: that of the route, or in a deployment with
    /// accounts the rank by the account's priority, or else the route's, and by the use of its quota.
    pub fn priority(&self) -> u8 {
        let of_route = self.route.priority;
        let of_account = match &self.caller_account {
            CallerAccount::Unused => return of_route,
            CallerAccount::Anonymous => None,
            CallerAccount::Account(account) => account.priority,
        };
        FairRank::new(of_account.unwrap_or(of_route), self.utilisation).get()
    }

    /// Attempts so far.
    pub fn attempts(&self) -> MutexGuard<'_, Attempts> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a retry from the budget for a stream that broke off or fell silent; returns `false` if
    /// the stream may not resume elsewhere.
    pub fn try_take_stream_retry(&self) -> bool {
        let next = self.attempts().on_broken_stream();
        matches!(next, NextAttempt::Another { .. }) && self.try_take_retry()
    }

    /// Takes a retry from the budget, unless a part of the prompt is suspected of having crashed
    /// the last replica.
    pub fn try_take_retry(&self) -> bool {
        let now = self.node.now();
        if !self.node.prompt_guard().may_retry(self.head.needs.shared_parts()) {
            return false;
        }
        let instances = self.node.peers().remembered_count();
        self.node.retry_share().try_take_retry(now, &self.service.name, instances)
    }

    /// Time until the caller's or the route's timeout ends; zero afterwards.
    pub fn time_until_deadline(&self) -> Duration {
        self.deadline.time_left()
    }

    /// Logs that the time limit is over, with the limit and the configurations that it may be from.
    pub fn record_deadline(&self) {
        record(&LogEvent::DeadlinePassed {
            id: &self.head.id,
            waited_ms: self.waited_ms(),
            limit_ms: self.deadline.limit().as_millis(),
            accepted_under: self.accepted_under,
            config: self.node.current_config().map_or(0, |config| config.version),
        });
    }

    /// Time limit to send to a replica; never `None`, since every route has a timeout.
    pub fn time_left(&self) -> Option<Duration> {
        Some(self.time_until_deadline())
    }

    /// Adapter version that the replica must run the request with.
    ///
    /// `None` for a base model, and unless the replica is known to hold the newest declared version
    /// or a later one.
    pub fn required_version(&self, replica: &BackendName, key: &AdapterKey) -> Option<u64> {
        key.adapter.as_ref()?;
        let now = self.node.now();
        let newest = self.node.versions().newest(key)?;
        let held = self.node.replicas().get(replica)?.held_version(now, key)?;
        (held >= newest).then_some(held)
    }

    /// Adds a strike to the request, as a connection broke while it ran.
    pub fn on_broken_connection(&self, replica: &BackendName) {
        let now = self.node.now();
        let count = self.node.crash_guard().strike(now, self.fingerprint);
        let (id, replica) = (self.head.id.as_str(), replica.as_str());
        record(&LogEvent::RequestStrike { id, replica, strikes: count });
    }

    /// Completes when the time limit is over.
    pub async fn until_deadline(&self) {
        self.deadline.passed().await;
    }

    /// Refusal of a request that can't be served before `wait` has passed.
    pub fn not_yet(&self, wait: Duration) -> LocalResponse {
        match self.attempts().final_outcome() {
            FinalOutcome::NotRun => {
                let spread = xxh3_64(self.head.id.as_bytes());
                LocalResponse::NotYet(WaitBudget::retry_after(wait, spread))
            }
            FinalOutcome::Unknown => LocalResponse::Unknown,
        }
    }

    /// Response if no further attempt is made.
    pub fn final_response(&self) -> LocalResponse {
        let now = self.node.now();
        let pause = self.node.replicas().service_pause(now, &self.service.name);
        let outcome = self.attempts().final_outcome();
        match (outcome, pause) {
            (FinalOutcome::NotRun, Some(pause)) => self.not_yet(pause),
            (FinalOutcome::NotRun, None) => LocalResponse::NotRun,
            (FinalOutcome::Unknown, _) => LocalResponse::Unknown,
        }
    }

    /// Response if no replica is there: also while none is known yet, as the store is in trouble.
    pub fn response_without_replicas(&self) -> LocalResponse {
        let now = self.node.now();
        let is_listed = self.node.view(PublishedTopic::Replicas).is_usable(now);
        match self.final_response() {
            LocalResponse::NotRun if !is_listed => first_config::not_ready(now, &self.head.id),
            other => other,
        }
    }

    /// Time since its arrival, in ms.
    pub fn waited_ms(&self) -> u128 {
        self.node.now().since(self.arrived).as_millis()
    }

    /// Response once its time is over.
    pub fn timeout_response(&self) -> LocalResponse {
        match self.attempts().final_outcome() {
            FinalOutcome::NotRun => LocalResponse::NotRun,
            FinalOutcome::Unknown => LocalResponse::TimedOut,
        }
    }

    /// Logs and counts the end without a replica's response.
    fn end(self, local_response: LocalResponse) -> Response<ResponseBody> {
        let (id, outcome) = (self.head.id.as_str(), local_response.name());
        let (sends, waited_ms) = (self.attempts().sends(), self.waited_ms());
        record(&LogEvent::RequestEnded { id, outcome, sends, waited_ms });
        self.node.metrics.on_refusal(outcome);
        self.node.metrics.on_request_end(self.route.kind, local_response.outcome());
        local_response.into_response(&*self.node.protocol, &self.head.id)
    }
}

impl Drop for ForwardedRequest {
    fn drop(&mut self) {
        let outcome = self.attempts().final_outcome();
        if let (Some(charge), FinalOutcome::Unknown) = (&mut self.charge, outcome) {
            charge.keep();
        }
    }
}

/// Host that a request names in its header or else in its URI; empty if in neither.
pub fn host_of(head: &request::Parts) -> &str {
    let named = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    named.or_else(|| head.uri.host()).unwrap_or_default()
}

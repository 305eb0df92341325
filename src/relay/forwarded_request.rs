//! One caller's request on its way through the relay, from the choice of a replica to a response.
//!
//! The request waits for a usable replica or for its adapter to be loaded, is sent, and is sent
//! to another replica after a failed attempt where [`Attempts`] and the retry budget allow it.
//! It ends with a response that can be forwarded, or with the relay's own one once the waits, the
//! attempts or the time are used up. The time limit is the shorter of the route's and the
//! caller's.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::Uri;
use hyper::header;
use hyper::http::request;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::RequestHead;
use super::adapter_use::AdapterUse;
use super::attempt;
use super::attempt::AttemptOutcome;
use super::attempt::ReplicaBody;
use super::attempt::ReplicaResponse;
use super::forward::CallerRequestGuard;
use super::loads;
use super::loads::LoadOutcome;
use super::log_event::AttemptFailure;
use super::log_event::LogEvent;
use super::log_event::record;
use super::metrics::Outcome;
use super::node::Node;
use super::prompt_quarantine;
use super::prompt_quarantine::QuarantineCheck;
use super::response::LocalResponse;
use super::response::ResponseBody;
use super::response::forwarded_response;
use super::response::full_body;
use super::stream_relay::StreamRelay;
use super::turns;
use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::AttemptEnd;
use crate::decide::traffic::Attempts;
use crate::decide::traffic::FinalOutcome;
use crate::decide::traffic::NextAttempt;
use crate::decide::traffic::ReplicaChoice;
use crate::decide::traffic::Route;
use crate::decide::traffic::Service;
use crate::decide::traffic::WaitBudget;
use crate::names::BackendName;
use crate::names::Timestamp;

/// Interval at which a replica that owes data is checked for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How many times longer the head of a stream is waited for than that of another response.
const STREAM_SILENCE_FACTOR: u32 = 2;
/// Shortest wait for an adapter that is logged.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(10);
/// Round trip between caller and relay, by which the caller's timeout is shortened.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(10);

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
    /// Attempts so far.
    pub attempts: Attempts,
    /// Time of arrival.
    pub arrived: Timestamp,
    /// Whether it may be sent although a part of its prompt is quarantined.
    pub is_probe: bool,
    /// Hash of path and body, by which the crash guard knows the request.
    pub fingerprint: u64,
    /// Counts it among the requests in progress.
    pub _caller_request_guard: CallerRequestGuard,
}

impl ForwardedRequest {
    /// Forwards the request and returns the response to the caller.
    pub async fn run(mut self) -> Response<ResponseBody> {
        let resume_after = self.head.resume_after.clone();
        let response = match self.obtain_response(resume_after.as_deref()).await {
            Ok(response) => response,
            Err(local_response) => {
                let (id, outcome) = (self.head.id.as_str(), local_response.name());
                let (sends, waited_ms) = (self.attempts.sends(), self.waited_ms());
                record(&LogEvent::RequestEnded { id, outcome, sends, waited_ms });
                self.node.metrics.on_refusal(outcome);
                self.node.metrics.on_request_end(self.route.kind, local_response.outcome());
                return local_response.into_response(&*self.node.protocol, &self.head.id);
            }
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
                let body = StreamRelay::new(self, *stream, resume_after).into_body();
                forwarded_response(&response.head, body, None)
            }
        }
    }

    /// Tries replicas until one sends a response that can be forwarded.
    ///
    /// # Errors
    ///
    /// The relay's own response, if no replica's can be forwarded.
    pub async fn obtain_response(
        &mut self,
        resume_after: Option<&str>,
    ) -> Result<ReplicaResponse, LocalResponse> {
        let mut wait_budget = WaitBudget::default();
        loop {
            let left = self.time_until_deadline();
            if left.is_zero() {
                return Err(self.timeout_response());
            }
            match self.choose() {
                ReplicaChoice::NoReplica | ReplicaChoice::VersionGone => {
                    self.wait_for_replica(&mut wait_budget).await?
                }
                ReplicaChoice::Paused { left, may_wait } => {
                    self.wait_for_pause(left, may_wait, &mut wait_budget).await?
                }
                ReplicaChoice::Load(targets) => {
                    self.wait_for_load(&targets, &mut wait_budget).await?
                }
                ReplicaChoice::Send { replica, spread } => {
                    if let Some(target) = spread {
                        loads::load_extra_copy(&self.node, &self.head.needs, target);
                    }
                    if let Some(response) = self.attempt(&replica, resume_after).await? {
                        return Ok(response);
                    }
                }
            }
        }
    }

    /// Takes a retry from the budget for a stream that broke off; returns `false` if the stream may
    /// not resume elsewhere.
    pub fn try_take_stream_retry(&self) -> bool {
        let next = self.attempts.on_broken_stream();
        matches!(next, NextAttempt::Another { .. }) && self.may_retry() && self.try_take_retry()
    }

    /// Time until the caller's or the route's timeout ends; zero afterwards.
    pub fn time_until_deadline(&self) -> Duration {
        self.time_limit().saturating_sub(self.node.now().since(self.arrived))
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

    /// Completes when the time limit is over, also if a new configuration shortens it.
    pub async fn until_deadline(&self) {
        let mut config = self.node.config.subscribe();
        loop {
            let left = self.time_until_deadline();
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = sleep(left) => {}
                changed = config.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn time_limit(&self) -> Duration {
        let config = self.node.current_config();
        let host = host_of(&self.parts);
        let current = config.as_ref().and_then(|c| c.route(host, self.path.path()));
        let timeout = match current {
            Some(route) if route.name == self.route.name => route.timeout.min(self.route.timeout),
            _ => self.route.timeout,
        };
        let caller_timeout =
            self.head.caller_timeout.map(|timeout| timeout.saturating_sub(CALLER_ROUND_TRIP));
        caller_timeout.map_or(timeout, |limit| limit.min(timeout))
    }

    fn choose(&self) -> ReplicaChoice {
        let now = self.node.now();
        let versions = self.node.versions();
        self.node.replicas().choose(
            now,
            &self.service.name,
            self.service.engine.as_ref(),
            &self.head.needs,
            self.attempts.tried(),
            &versions,
        )
    }

    async fn attempt(
        &mut self,
        replica: &BackendName,
        resume_after: Option<&str>,
    ) -> Result<Option<ReplicaResponse>, LocalResponse> {
        let _use =
            self.head.needs.key.as_ref().map(|key| AdapterUse::new(&self.node, replica, key));
        let turn = turns::acquire(&self.node, replica, &self.head.needs).await;
        self.check_quarantine()?;
        self.record_send(replica);
        self.attempts.on_send(replica.clone());
        let outcome = tokio::select! {
            outcome = attempt::run(self, replica, resume_after, turn) => Some(outcome),
            () = self.until_deadline() => None,
            () = self.until_unresponsive(replica) => {
                attempt::record_failed_attempt(self, replica, AttemptFailure::Silent, "");
                Some(AttemptOutcome::NoResponse(AttemptEnd::MaybeRan))
            }
        };
        match outcome {
            None => {
                let _ = self.attempts.on_end(AttemptEnd::MaybeRan);
                Err(LocalResponse::TimedOut)
            }
            Some(AttemptOutcome::Response(response)) => {
                self.attempts.on_response_begun();
                Ok(Some(response))
            }
            Some(AttemptOutcome::ServerError(response)) => {
                let next = self.attempts.on_end(AttemptEnd::RanAndFailed);
                let again = matches!(next, NextAttempt::Another { .. })
                    && self.may_retry()
                    && self.try_take_retry();
                Ok((!again).then_some(response))
            }
            Some(AttemptOutcome::NoResponse(end)) => match self.attempts.on_end(end) {
                NextAttempt::Another { is_retry: false } => Ok(None),
                NextAttempt::Another { is_retry: true }
                    if self.may_retry() && self.try_take_retry() =>
                {
                    Ok(None)
                }
                NextAttempt::Another { .. } | NextAttempt::Final(_) => Err(self.final_response()),
            },
        }
    }

    /// Refuses the request if a part of its prompt is quarantined.
    fn check_quarantine(&self) -> Result<(), LocalResponse> {
        if self.is_probe {
            return Ok(());
        }
        let (now, id, parts) = (self.node.now(), &self.head.id, self.head.needs.shared_parts());
        match prompt_quarantine::check(&self.node, now, id, parts) {
            QuarantineCheck::Free | QuarantineCheck::Probe => Ok(()),
            QuarantineCheck::Refused(left) => Err(self.not_yet(left)),
        }
    }

    /// Whether no part of the prompt is suspected of having crashed the last replica.
    fn may_retry(&self) -> bool {
        self.node.prompt_guard().may_retry(self.head.needs.shared_parts())
    }

    /// Completes when the replica of a stream that may resume elsewhere has stopped sending at all.
    pub async fn until_stopped_sending(&self, replica: &BackendName) {
        if !self.route.kind.may_repeat() {
            std::future::pending::<()>().await;
        }
        loop {
            sleep(SILENCE_CHECK_INTERVAL).await;
            let now = self.node.now();
            if self.node.replicas().get(replica).is_some_and(|known| known.has_stopped_sending(now))
            {
                return;
            }
        }
    }

    /// Completes when a replica hasn't responded for too long to a request that may be repeated.
    fn until_unresponsive(&self, replica: &BackendName) -> impl Future<Output = ()> + Send + use<> {
        let node = Arc::clone(&self.node);
        let kind = self.route.kind;
        let replica = replica.clone();
        let max_wait = self.route.objective * 2 + SILENCE_CHECK_INTERVAL;
        async move {
            if !kind.may_repeat() {
                std::future::pending::<()>().await;
            }
            if !kind.is_stream() {
                sleep(max_wait).await;
                return;
            }
            let start = node.now();
            loop {
                sleep(SILENCE_CHECK_INTERVAL).await;
                let now = node.now();
                let is_unresponsive =
                    node.replicas().get(&replica).is_none_or(|known| known.is_unresponsive(now));
                if is_unresponsive || now.since(start) >= max_wait * STREAM_SILENCE_FACTOR {
                    return;
                }
            }
        }
    }

    async fn wait_for_replica(&self, wait_budget: &mut WaitBudget) -> Result<(), LocalResponse> {
        let pause = wait_budget.charge_replica_wait(self.time_until_deadline());
        sleep(pause.ok_or_else(|| self.final_response())?).await;
        Ok(())
    }

    /// Waits for the end of a pause that all replicas asked for, or refuses the request at once if
    /// that takes too long.
    async fn wait_for_pause(
        &self,
        left: Duration,
        may_wait: bool,
        wait_budget: &mut WaitBudget,
    ) -> Result<(), LocalResponse> {
        if may_wait && wait_budget.charge_pause(left, self.time_until_deadline()) {
            sleep(left).await;
            return Ok(());
        }
        Err(self.not_yet(left))
    }

    /// Refusal of a request that can't be served before `wait` has passed.
    fn not_yet(&self, wait: Duration) -> LocalResponse {
        match self.attempts.final_outcome() {
            FinalOutcome::NotRun => {
                let spread = xxh3_64(self.head.id.as_bytes());
                LocalResponse::NotYet(WaitBudget::retry_after(wait, spread))
            }
            FinalOutcome::Unknown => LocalResponse::Unknown,
        }
    }

    async fn wait_for_load(
        &self,
        targets: &[BackendName],
        wait_budget: &mut WaitBudget,
    ) -> Result<(), LocalResponse> {
        let started = self.node.now();
        let limit = wait_budget.load_wait_limit(self.time_until_deadline());
        let limit = limit.ok_or_else(|| self.final_response())?;
        let Some(key) = &self.head.needs.key else { return Ok(()) };
        // Prompts with the same prefix go to the same home, since it has read that prefix before.
        let shared = self.head.needs.shared_prefix();
        let pick = shared.unwrap_or_else(|| xxh3_64(self.head.id.as_bytes()));
        let outcome = loads::load_at_any(&self.node, key, targets, limit, pick).await;
        if let LoadOutcome::NoOrdersFor(wait) = outcome {
            if wait > limit {
                return Err(self.not_yet(wait));
            }
            sleep(wait).await;
        }
        let waited = self.node.now().since(started);
        sleep(wait_budget.charge_load_wait(waited)).await;
        self.node.metrics.on_load_wait(waited);
        if waited >= MIN_LOGGED_WAIT {
            let (id, adapter) = (self.head.id.as_str(), key.label());
            let (targets, waited_ms) = (targets.len(), waited.as_millis());
            record(&LogEvent::RequestWaited { id, adapter: &adapter, targets, waited_ms });
        }
        Ok(())
    }

    fn waited_ms(&self) -> u128 {
        self.node.now().since(self.arrived).as_millis()
    }

    fn record_send(&self, replica: &BackendName) {
        let now = self.node.now();
        let workload = self.node.replicas().get(replica).map(|known| known.workload(now));
        let workload = workload.unwrap_or_default();
        self.node.metrics.on_sent(replica);
        record(&LogEvent::RequestSent {
            id: &self.head.id,
            route: self.route.name.as_str(),
            replica: replica.as_str(),
            config: self.node.current_config().map_or(0, |config| config.version),
            sends: self.attempts.sends(),
            waited_ms: self.waited_ms(),
            busy: workload.requests,
            unread_tokens: workload.unread_tokens,
        });
    }

    fn try_take_retry(&self) -> bool {
        let now = self.node.now();
        let instances = self.node.peers().remembered_count();
        self.node.retry_share().try_take_retry(now, &self.service.name, instances)
    }

    fn final_response(&self) -> LocalResponse {
        let now = self.node.now();
        let pause = self.node.replicas().service_pause(now, &self.service.name);
        match (self.attempts.final_outcome(), pause) {
            (FinalOutcome::NotRun, Some(pause)) => self.not_yet(pause),
            (FinalOutcome::NotRun, None) => LocalResponse::NotRun,
            (FinalOutcome::Unknown, _) => LocalResponse::Unknown,
        }
    }

    fn timeout_response(&self) -> LocalResponse {
        match self.attempts.final_outcome() {
            FinalOutcome::NotRun => LocalResponse::NotRun,
            FinalOutcome::Unknown => LocalResponse::TimedOut,
        }
    }
}

/// Host that a request names in its header or else in its URI; empty if in neither.
pub fn host_of(head: &request::Parts) -> &str {
    let named = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    named.or_else(|| head.uri.host()).unwrap_or_default()
}

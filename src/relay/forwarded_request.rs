//! One request of a caller: its attempts, its waits, its answer.

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
use super::forward::InFlightGuard;
use super::loads;
use super::log_event::AttemptFailure;
use super::log_event::LogEvent;
use super::log_event::record;
use super::metrics::Outcome;
use super::node::Node;
use super::response::LocalResponse;
use super::response::ResponseBody;
use super::response::forwarded_response;
use super::response::full_body;
use super::stream_relay::StreamRelay;
use super::turns;
use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::AttemptEnd;
use crate::decide::traffic::Attempts;
use crate::decide::traffic::Choice;
use crate::decide::traffic::FinalAnswer;
use crate::decide::traffic::NextAttempt;
use crate::decide::traffic::Route;
use crate::decide::traffic::Service;
use crate::decide::traffic::WaitBudget;
use crate::names::BackendName;
use crate::names::Timestamp;

/// Pause between looks at a replica that owes an answer.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How much longer than an answer's beginning a stream's is waited for.
const STREAM_SILENCE_FACTOR: u32 = 2;
/// Least wait for an adapter that is logged.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(10);
/// Time that a request needs on its way to the caller and back.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(10);

/// One request of a caller.
pub struct ForwardedRequest {
    /// The relay.
    pub node: Arc<Node>,
    /// What is asked.
    pub head: RequestHead,
    /// Head of the request.
    pub parts: request::Parts,
    /// Headers of the request without those of its connection.
    pub headers: HeaderMap,
    /// Path and query.
    pub path: Uri,
    /// Body.
    pub body: Bytes,
    /// Whether the request declared a body.
    pub has_length: bool,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that serves it.
    pub service: Arc<Service>,
    /// What was sent so far.
    pub attempts: Attempts,
    /// When it came.
    pub arrived: Timestamp,
    /// What it is known by to the crash guard.
    pub fingerprint: u64,
    /// Keeps it counted.
    pub _in_flight_guard: InFlightGuard,
}

impl ForwardedRequest {
    /// Serves the request.
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

    /// Sends the request until there is an answer to pass on.
    ///
    /// # Errors
    ///
    /// The final answer, if no replica's can be passed on.
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
                Choice::NoReplica => self.wait_for_replica(&mut wait_budget).await?,
                Choice::Load(targets) => self.wait_for_load(&targets, &mut wait_budget).await?,
                Choice::Send { replica, spread } => {
                    if let Some(target) = spread {
                        loads::load_extra_copy(&self.node, &self.head.wanted, target);
                    }
                    if let Some(response) = self.attempt(&replica, resume_after).await? {
                        return Ok(response);
                    }
                }
            }
        }
    }

    /// What may follow a stream that broke off; `false` means nothing.
    pub fn may_resume(&self) -> bool {
        let next = self.attempts.on_broken_stream();
        matches!(next, NextAttempt::Another { .. }) && self.take_retry()
    }

    /// Time until the caller's patience or the route's timeout ends.
    pub fn time_until_deadline(&self) -> Duration {
        self.time_limit().saturating_sub(self.node.now().since(self.arrived))
    }

    /// Time left for a replica, if there's any limit.
    pub fn time_left(&self) -> Option<Duration> {
        Some(self.time_until_deadline())
    }

    /// Version of an adapter that a replica must run it with.
    pub fn required_version(&self, replica: &BackendName, key: &AdapterKey) -> Option<u64> {
        key.adapter.as_ref()?;
        let now = self.node.now();
        let newest = self.node.versions().newest(key)?;
        let held = self.node.replicas().get(replica)?.holds(now, key)?;
        (held >= newest).then_some(held)
    }

    /// Notes that a connection broke while the request ran.
    pub fn on_broken_connection(&self, replica: &BackendName) {
        let now = self.node.now();
        let count = self.node.crashes().strike(now, self.fingerprint);
        let (id, replica) = (self.head.id.as_str(), replica.as_str());
        record(&LogEvent::RequestStrike { id, replica, strikes: count });
    }

    /// Completes when the request's time is over, also if a new configuration shortens it.
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

    fn choose(&self) -> Choice {
        let now = self.node.now();
        let versions = self.node.versions();
        self.node.replicas().choose(
            now,
            &self.service.name,
            self.service.engine.as_ref(),
            &self.head.wanted,
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
            self.head.wanted.key.as_ref().map(|key| AdapterUse::new(&self.node, replica, key));
        let turn = turns::acquire(&self.node, replica, &self.head.wanted).await;
        self.record_send(replica);
        self.attempts.on_send(replica.clone());
        let outcome = tokio::select! {
            outcome = attempt::run(self, replica, resume_after, turn) => Some(outcome),
            () = self.until_deadline() => None,
            () = self.until_silent(replica) => {
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
                self.attempts.on_answer_begun();
                Ok(Some(response))
            }
            Some(AttemptOutcome::ServerError(response)) => {
                let next = self.attempts.on_end(AttemptEnd::RanAndFailed);
                let again = matches!(next, NextAttempt::Another { .. }) && self.take_retry();
                Ok((!again).then_some(response))
            }
            Some(AttemptOutcome::NoResponse(end)) => match self.attempts.on_end(end) {
                NextAttempt::Another { is_retry: false } => Ok(None),
                NextAttempt::Another { is_retry: true } if self.take_retry() => Ok(None),
                NextAttempt::Another { .. } | NextAttempt::Final(_) => Err(self.final_response()),
            },
        }
    }

    /// Completes when the replica of a stream that can go on elsewhere sends nothing at all.
    pub async fn until_mute(&self, replica: &BackendName) {
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

    /// Completes when the replica has left a repeatable request unanswered for too long.
    fn until_silent(&self, replica: &BackendName) -> impl Future<Output = ()> + Send + use<> {
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
        let pause = wait_budget.wait_for_replica(self.time_until_deadline());
        sleep(pause.ok_or_else(|| self.final_response())?).await;
        Ok(())
    }

    async fn wait_for_load(
        &self,
        targets: &[BackendName],
        wait_budget: &mut WaitBudget,
    ) -> Result<(), LocalResponse> {
        let started = self.node.now();
        let limit = wait_budget.load_wait_limit(self.time_until_deadline());
        let limit = limit.ok_or_else(|| self.final_response())?;
        let Some(key) = &self.head.wanted.key else { return Ok(()) };
        // The same home for prompts that begin alike, since it has read their beginning.
        let shared = self.head.wanted.shared_prefix();
        let pick = shared.unwrap_or_else(|| xxh3_64(self.head.id.as_bytes()));
        loads::load_somewhere(&self.node, key, targets, limit, pick).await;
        let waited = self.node.now().since(started);
        wait_budget.on_load_wait(waited);
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
        let load = self.node.replicas().get(replica).map(|known| known.workload(now));
        let load = load.unwrap_or_default();
        self.node.metrics.on_sent(replica);
        record(&LogEvent::RequestSent {
            id: &self.head.id,
            route: self.route.name.as_str(),
            replica: replica.as_str(),
            config: self.node.current_config().map_or(0, |config| config.version),
            sends: self.attempts.sends(),
            waited_ms: self.waited_ms(),
            busy: load.requests,
            unread_tokens: load.unread_tokens,
        });
    }

    fn take_retry(&self) -> bool {
        let now = self.node.now();
        let instances = self.node.peers().remembered_count();
        self.node.retries().take(now, &self.service.name, instances)
    }

    fn final_response(&self) -> LocalResponse {
        match self.attempts.final_answer() {
            FinalAnswer::NotRun => LocalResponse::NotRun,
            FinalAnswer::Unknown => LocalResponse::Unknown,
        }
    }

    fn timeout_response(&self) -> LocalResponse {
        match self.attempts.final_answer() {
            FinalAnswer::NotRun => LocalResponse::NotRun,
            FinalAnswer::Unknown => LocalResponse::TimedOut,
        }
    }
}

/// Host that a request names.
pub fn host_of(head: &request::Parts) -> &str {
    let named = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    named.or_else(|| head.uri.host()).unwrap_or_default()
}

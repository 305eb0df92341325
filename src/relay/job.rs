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
use super::answer::AnswerBody;
use super::answer::Refusal;
use super::answer::forwarded;
use super::answer::whole_body;
use super::attempt;
use super::attempt::AttemptOutcome;
use super::attempt::ReplicaAnswer;
use super::attempt::ReplicaBody;
use super::event::AttemptReason;
use super::event::LogEvent;
use super::event::record;
use super::forward::Counted;
use super::loads;
use super::metrics::Outcome;
use super::node::Node;
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
const SILENCE_PAUSE: Duration = Duration::from_millis(200);
/// How much longer than an answer's beginning a stream's is waited for.
const STREAM_PATIENCE: u32 = 2;
/// Least wait for an adapter that is logged.
const LOGGED_WAIT: Duration = Duration::from_millis(10);
/// Time that a request needs on its way to the caller and back.
const TRAVEL_TIME: Duration = Duration::from_millis(10);

/// One request of a caller.
pub struct Job {
    /// The relay.
    pub node: Arc<Node>,
    /// What is asked.
    pub call: RequestHead,
    /// Head of the request.
    pub head: request::Parts,
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
    pub _counted: Counted,
}

impl Job {
    /// Serves the request.
    pub async fn run(mut self) -> Response<AnswerBody> {
        let resume_after = self.call.resume_after.clone();
        let answer = match self.answer(resume_after.as_deref()).await {
            Ok(answer) => answer,
            Err(refusal) => {
                let (id, outcome) = (self.call.id.as_str(), refusal.name());
                let (sends, waited_ms) = (self.attempts.sends(), self.waited_ms());
                record(&LogEvent::RequestEnded { id, outcome, sends, waited_ms });
                self.node.metrics.on_refusal(outcome);
                self.node.metrics.on_end(self.route.kind, refusal.outcome());
                return refusal.answer(&*self.node.protocol, &self.call.id);
            }
        };
        let (kind, waited) = (self.route.kind, self.node.now().since(self.arrived));
        self.node.metrics.on_first_byte(kind, waited);
        match answer.body {
            ReplicaBody::Whole(bytes) => {
                let failed = answer.head.status.is_server_error();
                let outcome = if failed { Outcome::Failed } else { Outcome::Answered };
                self.node.metrics.on_end(kind, outcome);
                let length = bytes.len();
                forwarded(&answer.head, whole_body(bytes), Some(length))
            }
            ReplicaBody::Stream(stream) => {
                let body = StreamRelay::new(self, *stream, resume_after).into_body();
                forwarded(&answer.head, body, None)
            }
        }
    }

    /// Sends the request until there is an answer to pass on.
    ///
    /// # Errors
    ///
    /// The final answer, if no replica's can be passed on.
    pub async fn answer(&mut self, resume_after: Option<&str>) -> Result<ReplicaAnswer, Refusal> {
        let mut patience = WaitBudget::default();
        loop {
            let left = self.time_until_deadline();
            if left.is_zero() {
                return Err(self.timed_out());
            }
            match self.choose() {
                Choice::NoReplica => self.wait_for_replica(&mut patience).await?,
                Choice::Load(targets) => self.wait_for_load(&targets, &mut patience).await?,
                Choice::Send { replica, spread } => {
                    if let Some(target) = spread {
                        loads::spread(&self.node, &self.call.wanted, target);
                    }
                    if let Some(answer) = self.attempt(&replica, resume_after).await? {
                        return Ok(answer);
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
    pub fn on_broken(&self, replica: &BackendName) {
        let now = self.node.now();
        let count = self.node.crashes().strike(now, self.fingerprint);
        let (id, replica) = (self.call.id.as_str(), replica.as_str());
        record(&LogEvent::RequestStrike { id, replica, strikes: count });
    }

    /// Completes when the request's time is over, also if a new configuration shortens it.
    pub async fn deadline(&self) {
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
        let host = host_of(&self.head);
        let current = config.as_ref().and_then(|c| c.route(host, self.path.path()));
        let timeout = match current {
            Some(route) if route.name == self.route.name => route.timeout.min(self.route.timeout),
            _ => self.route.timeout,
        };
        let patience =
            self.call.caller_timeout.map(|patience| patience.saturating_sub(TRAVEL_TIME));
        patience.map_or(timeout, |patience| patience.min(timeout))
    }

    fn choose(&self) -> Choice {
        let now = self.node.now();
        let versions = self.node.versions();
        self.node.replicas().choose(
            now,
            &self.service.name,
            self.service.engine.as_ref(),
            &self.call.wanted,
            self.attempts.tried(),
            &versions,
        )
    }

    async fn attempt(
        &mut self,
        replica: &BackendName,
        resume_after: Option<&str>,
    ) -> Result<Option<ReplicaAnswer>, Refusal> {
        let _use =
            self.call.wanted.key.as_ref().map(|key| AdapterUse::new(&self.node, replica, key));
        let turn = turns::take(&self.node, replica, &self.call.wanted).await;
        self.record_send(replica);
        self.attempts.on_send(replica.clone());
        let outcome = tokio::select! {
            outcome = attempt::run(self, replica, resume_after, turn) => Some(outcome),
            () = self.deadline() => None,
            () = self.silence(replica) => {
                attempt::ended(self, replica, AttemptReason::Silent, "");
                Some(AttemptOutcome::Ended(AttemptEnd::MaybeRan))
            }
        };
        match outcome {
            None => {
                let _ = self.attempts.on_end(AttemptEnd::MaybeRan);
                Err(Refusal::TimedOut)
            }
            Some(AttemptOutcome::Answer(answer)) => {
                self.attempts.on_answer_begun();
                Ok(Some(answer))
            }
            Some(AttemptOutcome::Failure(answer)) => {
                let next = self.attempts.on_end(AttemptEnd::RanAndFailed);
                let again = matches!(next, NextAttempt::Another { .. }) && self.take_retry();
                Ok((!again).then_some(answer))
            }
            Some(AttemptOutcome::Ended(end)) => match self.attempts.on_end(end) {
                NextAttempt::Another { is_retry: false } => Ok(None),
                NextAttempt::Another { is_retry: true } if self.take_retry() => Ok(None),
                NextAttempt::Another { .. } | NextAttempt::Final(_) => Err(self.given_up()),
            },
        }
    }

    /// Completes when the replica of a stream that can go on elsewhere sends nothing at all.
    pub async fn muteness(&self, replica: &BackendName) {
        if !self.route.kind.may_repeat() {
            std::future::pending::<()>().await;
        }
        loop {
            sleep(SILENCE_PAUSE).await;
            let now = self.node.now();
            if self.node.replicas().get(replica).is_some_and(|known| known.has_stopped_sending(now))
            {
                return;
            }
        }
    }

    /// Completes when the replica has left a repeatable request unanswered for too long.
    fn silence(&self, replica: &BackendName) -> impl Future<Output = ()> + Send + use<> {
        let node = Arc::clone(&self.node);
        let kind = self.route.kind;
        let replica = replica.clone();
        let patience = self.route.objective * 2 + SILENCE_PAUSE;
        async move {
            if !kind.may_repeat() {
                std::future::pending::<()>().await;
            }
            if !kind.is_stream() {
                sleep(patience).await;
                return;
            }
            let start = node.now();
            loop {
                sleep(SILENCE_PAUSE).await;
                let now = node.now();
                let is_unresponsive =
                    node.replicas().get(&replica).is_none_or(|known| known.is_unresponsive(now));
                if is_unresponsive || now.since(start) >= patience * STREAM_PATIENCE {
                    return;
                }
            }
        }
    }

    async fn wait_for_replica(&self, patience: &mut WaitBudget) -> Result<(), Refusal> {
        let pause = patience.wait_for_replica(self.time_until_deadline());
        sleep(pause.ok_or_else(|| self.given_up())?).await;
        Ok(())
    }

    async fn wait_for_load(
        &self,
        targets: &[BackendName],
        patience: &mut WaitBudget,
    ) -> Result<(), Refusal> {
        let started = self.node.now();
        let limit = patience.load_wait_limit(self.time_until_deadline());
        let limit = limit.ok_or_else(|| self.given_up())?;
        let Some(key) = &self.call.wanted.key else { return Ok(()) };
        // The same home for prompts that begin alike, since it has read their beginning.
        let shared = self.call.wanted.shared_prefix();
        let pick = shared.unwrap_or_else(|| xxh3_64(self.call.id.as_bytes()));
        loads::load_somewhere(&self.node, key, targets, limit, pick).await;
        let waited = self.node.now().since(started);
        patience.on_load_wait(waited);
        self.node.metrics.on_load_wait(waited);
        if waited >= LOGGED_WAIT {
            let (id, adapter) = (self.call.id.as_str(), key.label());
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
            id: &self.call.id,
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

    fn given_up(&self) -> Refusal {
        match self.attempts.final_answer() {
            FinalAnswer::NotRun => Refusal::NotRun,
            FinalAnswer::Unknown => Refusal::Unknown,
        }
    }

    fn timed_out(&self) -> Refusal {
        match self.attempts.final_answer() {
            FinalAnswer::NotRun => Refusal::NotRun,
            FinalAnswer::Unknown => Refusal::TimedOut,
        }
    }
}

/// Host that a request names.
pub fn host_of(head: &request::Parts) -> &str {
    let named = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    named.or_else(|| head.uri.host()).unwrap_or_default()
}

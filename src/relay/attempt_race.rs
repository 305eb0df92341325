//! The attempts of one request, of which several may be open at once.
//!
//! An attempt stays open until it has ended by itself: its response is worth more than the
//! suspicion that there won't be one. When a replica is silent for long and [`Attempts`] and the
//! retry budget allow it, the request is sent to another replica too. The first response that can
//! be forwarded wins, and the other attempts are given up.
//!
//! [`Attempts`]: crate::decide::traffic::Attempts

use std::future::Future;
use std::pin::Pin;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::attempt;
use super::attempt::AttemptOutcome;
use super::attempt::ReplicaResponse;
use super::forwarded_request::ForwardedRequest;
use super::log_event::LogEvent;
use super::log_event::record;
use super::replica_search::FoundReplica;
use super::replica_search::ReplicaSearch;
use super::response::LocalResponse;
use super::silence;
use crate::decide::traffic::AttemptEnd;
use crate::decide::traffic::NextAttempt;
use crate::names::BackendName;

type OpenAttempt<'a> = Pin<Box<dyn Future<Output = AttemptOutcome> + Send + 'a>>;
type Silence = Pin<Box<dyn Future<Output = ()> + Send>>;

/// What the race does while its attempts are open.
enum Phase {
    /// Looks for another replica.
    Searching,
    /// Waits for a response or until this replica has been silent for long.
    Watching(BackendName, Silence),
    /// Waits for a response only, since no further attempt is allowed.
    Waiting,
}

/// What happened next.
enum Event {
    Ended(AttemptOutcome),
    Found(Result<FoundReplica, LocalResponse>),
    Silent,
}

/// The attempts of one request until a replica responds.
pub struct AttemptRace<'a> {
    request: &'a ForwardedRequest,
    resume_after: Option<&'a str>,
    search: ReplicaSearch<'a>,
    open: FuturesUnordered<OpenAttempt<'a>>,
    phase: Phase,
}

impl<'a> AttemptRace<'a> {
    /// A race without any attempt yet; a stream resumes after the event `resume_after`.
    pub fn new(request: &'a ForwardedRequest, resume_after: Option<&'a str>) -> Self {
        let search = ReplicaSearch::new(request);
        Self {
            request,
            resume_after,
            search,
            open: FuturesUnordered::new(),
            phase: Phase::Searching,
        }
    }

    /// Sends the request to replicas until one sends a response that can be forwarded.
    ///
    /// # Errors
    ///
    /// The relay's own response, if no replica's can be forwarded.
    pub async fn run(mut self) -> Result<ReplicaResponse, LocalResponse> {
        loop {
            match self.next_event().await {
                Event::Found(Ok(found)) => self.send(found),
                Event::Found(Err(local_response)) => self.stop_searching(local_response)?,
                Event::Silent => self.on_silence(),
                Event::Ended(AttemptOutcome::Response(response)) => {
                    self.request.attempts().on_response_begun();
                    return Ok(response);
                }
                Event::Ended(AttemptOutcome::ServerError(response)) => {
                    if !self.may_go_on(AttemptEnd::RanAndFailed) {
                        return Ok(response);
                    }
                    self.phase = Phase::Searching;
                }
                Event::Ended(AttemptOutcome::NoResponse(end)) => {
                    if self.may_go_on(end) {
                        self.phase = Phase::Searching;
                    } else {
                        self.stop_searching(self.request.final_response())?;
                    }
                }
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let Self { search, open, phase, .. } = self;
        match phase {
            Phase::Searching => tokio::select! {
                biased;
                Some(outcome) = open.next() => Event::Ended(outcome),
                found = search.find() => Event::Found(found),
            },
            Phase::Watching(_, silence) => tokio::select! {
                biased;
                Some(outcome) = open.next() => Event::Ended(outcome),
                () = silence => Event::Silent,
            },
            Phase::Waiting => match open.next().await {
                Some(outcome) => Event::Ended(outcome),
                None => Event::Found(Err(self.request.final_response())),
            },
        }
    }

    fn send(&mut self, found: FoundReplica) {
        let (request, resume_after) = (self.request, self.resume_after);
        record_send(request, &found.replica);
        request.attempts().on_send(found.replica.clone());
        let silence = silence::before_response(request, &found.replica);
        self.phase = Phase::Watching(found.replica.clone(), Box::pin(silence));
        self.open.push(Box::pin(async move {
            let FoundReplica { replica, adapter_use, turn } = found;
            let outcome = attempt::run(request, &replica, resume_after, turn).await;
            drop(adapter_use);
            outcome
        }));
    }

    /// Looks for another replica beside the silent one, if that is allowed.
    fn on_silence(&mut self) {
        let phase = std::mem::replace(&mut self.phase, Phase::Waiting);
        let Phase::Watching(replica, _) = phase else { return };
        let next = self.request.attempts().on_silence();
        let is_allowed = matches!(next, NextAttempt::Another { .. });
        let tries_another = is_allowed && self.request.try_take_retry();
        attempt::record_silence(self.request, &replica, tries_another);
        if tries_another {
            self.phase = Phase::Searching;
        }
    }

    /// Whether another attempt follows one that has ended. A search that goes on already has taken
    /// its retry from the budget.
    fn may_go_on(&self, end: AttemptEnd) -> bool {
        let next = self.request.attempts().on_end(end);
        match next {
            NextAttempt::Another { is_retry: false } => true,
            NextAttempt::Another { is_retry: true } => {
                matches!(self.phase, Phase::Searching) || self.request.try_take_retry()
            }
            NextAttempt::Final(_) => false,
        }
    }

    /// Waits for the open attempts only.
    ///
    /// # Errors
    ///
    /// `local_response`, if none is open.
    fn stop_searching(&mut self, local_response: LocalResponse) -> Result<(), LocalResponse> {
        if self.open.is_empty() {
            return Err(local_response);
        }
        self.phase = Phase::Waiting;
        Ok(())
    }
}

fn record_send(request: &ForwardedRequest, replica: &BackendName) {
    let node = &request.node;
    let now = node.now();
    let workload = node.replicas().get(replica).map(|known| known.workload(now));
    let workload = workload.unwrap_or_default();
    let sends = request.attempts().sends();
    node.metrics.on_sent(replica);
    record(&LogEvent::RequestSent {
        id: &request.head.id,
        route: request.route.name.as_str(),
        replica: replica.as_str(),
        config: node.current_config().map_or(0, |config| config.version),
        sends,
        waited_ms: request.waited_ms(),
        busy: workload.requests,
        unread_tokens: workload.unread_tokens,
    });
}

//! The attempts of one request, of which several may be open at once.
//!
//! An attempt stays open until it has ended by itself: its response is worth more than the
//! suspicion that there won't be one. When a replica is silent for long and [`Attempts`] and the
//! retry budget allow it, the request is sent to another replica too. The first response that can
//! be forwarded wins, and the other attempts are given up; an error of a replica is forwarded only
//! if nothing better comes.
//!
//! [`Attempts`]: crate::decide::traffic::Attempts

use std::future::Future;
use std::pin::Pin;
use std::pin::pin;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep;

use super::attempt;
use super::attempt::AttemptOutcome;
use super::attempt::ReplicaResponse;
use super::fleet_event::FleetEvent;
use super::forwarded_request::ForwardedRequest;
use super::log_event::LogEvent;
use super::log_event::record;
use super::pass_on;
use super::pass_on::Passing;
use super::replica_search::Found;
use super::replica_search::FoundReplica;
use super::replica_search::ReplicaSearch;
use super::response::LocalResponse;
use super::silence;
use crate::decide::traffic::AttemptEnd;
use crate::decide::traffic::FinalOutcome;
use crate::decide::traffic::NextAttempt;
use crate::names::BackendName;

type OpenAttempt<'a> = Pin<Box<dyn Future<Output = AttemptOutcome> + Send + 'a>>;
type Pause = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Time after a search in vain until replicas are searched once more beside the open attempts.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// What the race does while its attempts are open.
enum Phase {
    /// Looks for another replica, for which a retry is taken from the budget once it is found.
    Searching { owes_retry: bool },
    /// Waits for a response or until this replica has been silent for long.
    Watching(BackendName, Pause),
    /// Waits for a response or until it is time to look for another replica once more.
    Resting(Pause),
    /// Waits for a response only, since no further attempt is allowed.
    Waiting,
}

/// What happened next.
enum Event {
    Ended(AttemptOutcome),
    Found(Result<Found, LocalResponse>),
    /// The replica that is watched is silent.
    Silent,
    /// It is time to search once more.
    Rested,
}

/// The attempts of one request until a replica responds.
pub struct AttemptRace<'a> {
    request: &'a ForwardedRequest,
    resume_after: Option<&'a str>,
    search: ReplicaSearch<'a>,
    open: FuturesUnordered<OpenAttempt<'a>>,
    phase: Phase,
    /// Error of a replica, which is forwarded if no other response comes.
    server_error: Option<ReplicaResponse>,
}

impl<'a> AttemptRace<'a> {
    /// A race without any attempt yet; a stream resumes after the event `resume_after`.
    pub fn new(request: &'a ForwardedRequest, resume_after: Option<&'a str>) -> Self {
        Self {
            request,
            resume_after,
            search: ReplicaSearch::new(request),
            open: FuturesUnordered::new(),
            phase: Phase::Searching { owes_retry: false },
            server_error: None,
        }
    }

    /// Sends the request to replicas until one sends a response that can be forwarded, or the time
    /// limit is over.
    ///
    /// # Errors
    ///
    /// The relay's own response, if no replica's can be forwarded.
    pub async fn run(mut self) -> Result<ReplicaResponse, LocalResponse> {
        let mut time_over = pin!(self.request.until_response_is_due());
        loop {
            let event = tokio::select! {
                biased;
                event = self.next_event() => event,
                () = &mut time_over => {
                    let response = self.request.timeout_response();
                    return self.server_error.take().ok_or(response);
                }
            };
            match event {
                Event::Found(Ok(found)) => self.on_found(found)?,
                Event::Found(Err(local_response)) => self.on_search_failed(local_response)?,
                Event::Silent => self.on_silence(),
                Event::Rested => {
                    self.search = ReplicaSearch::new(self.request);
                    self.phase = Phase::Searching { owes_retry: true };
                }
                Event::Ended(AttemptOutcome::Response(response)) => {
                    self.request.attempts().on_response_begun();
                    return Ok(response);
                }
                Event::Ended(AttemptOutcome::ServerError(response)) => {
                    self.server_error = Some(response);
                    self.on_end(AttemptEnd::RanAndFailed)?;
                }
                Event::Ended(AttemptOutcome::NoResponse(end)) => self.on_end(end)?,
                Event::Ended(AttemptOutcome::Refused(response)) => self.on_refused(response)?,
            }
            if self.open.is_empty()
                && !matches!(self.phase, Phase::Searching { .. })
                && let Some(response) = self.server_error.take()
            {
                return Ok(response);
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let Self { search, open, phase, .. } = self;
        match phase {
            Phase::Searching { .. } => tokio::select! {
                biased;
                Some(outcome) = open.next() => Event::Ended(outcome),
                found = search.find() => Event::Found(found),
            },
            Phase::Watching(_, silence) => tokio::select! {
                biased;
                Some(outcome) = open.next() => Event::Ended(outcome),
                () = silence => Event::Silent,
            },
            Phase::Resting(rest) => tokio::select! {
                biased;
                Some(outcome) = open.next() => Event::Ended(outcome),
                () = rest => Event::Rested,
            },
            Phase::Waiting => match open.next().await {
                Some(outcome) => Event::Ended(outcome),
                None => Event::Found(Err(self.request.final_response())),
            },
        }
    }

    /// Sends the request to a replica, unless the retry that it takes isn't granted.
    ///
    /// # Errors
    ///
    /// The relay's own response, if the retry isn't granted and no attempt is open.
    fn on_found(&mut self, found: Found) -> Result<(), LocalResponse> {
        let owes_retry = matches!(self.phase, Phase::Searching { owes_retry: true });
        if owes_retry && !self.request.try_take_retry() {
            return self.stop();
        }
        match found {
            Found::Replica(found) => self.send(found),
            Found::Peer(passing) => self.pass_on(passing),
        }
        Ok(())
    }

    fn send(&mut self, found: FoundReplica) {
        let (request, resume_after) = (self.request, self.resume_after);
        record_send(request, &found.replica);
        request.attempts().on_send(found.replica.clone());
        let silence = silence::before_response(request, &found.replica);
        self.phase = Phase::Watching(found.replica.clone(), Box::pin(silence));
        self.open.push(Box::pin(async move {
            let FoundReplica { replica, adapter_use, turn, permit } = found;
            let outcome = attempt::run(request, &replica, resume_after, turn, permit).await;
            drop(adapter_use);
            outcome
        }));
    }

    /// Passes the request on to another instance, which watches the replica for silence itself.
    fn pass_on(&mut self, passing: Passing) {
        let (request, resume_after) = (self.request, self.resume_after);
        let name = passing.name();
        record(&FleetEvent::RequestPassedOn {
            id: &request.head.id,
            to: name.as_str(),
            sends: request.attempts().sends(),
            waited_ms: request.waited_ms(),
        });
        request.attempts().on_send(name.clone());
        let silence = silence::before_passed_on_response(request);
        self.phase = Phase::Watching(name, Box::pin(silence));
        self.open.push(Box::pin(pass_on::run(request, passing, resume_after)));
    }

    /// Ends the search after another instance's refusal: it has looked for a replica as this one would.
    ///
    /// # Errors
    ///
    /// The refusal, if no attempt is open and the request can't have run.
    fn on_refused(&mut self, response: LocalResponse) -> Result<(), LocalResponse> {
        self.request.attempts().on_end(AttemptEnd::NotRun);
        let outcome = self.request.attempts().final_outcome();
        if self.open.is_empty() && outcome == FinalOutcome::NotRun && self.server_error.is_none() {
            return Err(response);
        }
        self.stop()
    }

    /// Looks for another replica beside the silent one, if that is allowed.
    fn on_silence(&mut self) {
        let phase = std::mem::replace(&mut self.phase, Phase::Waiting);
        let Phase::Watching(replica, _) = phase else { return };
        let next = self.request.attempts().on_silence();
        let tries_another = matches!(next, NextAttempt::Another { .. });
        attempt::record_silence(self.request, &replica, tries_another);
        if tries_another {
            self.phase = Phase::Searching { owes_retry: true };
        }
    }

    /// Looks for another replica after an attempt has ended, if that is allowed.
    ///
    /// # Errors
    ///
    /// The relay's own response, if it isn't and no attempt is open.
    fn on_end(&mut self, end: AttemptEnd) -> Result<(), LocalResponse> {
        let next = self.request.attempts().on_end(end);
        let NextAttempt::Another { is_retry } = next else { return self.stop() };
        if matches!(self.phase, Phase::Searching { .. }) {
            return Ok(());
        }
        if is_retry && !self.request.try_take_retry() {
            return self.stop();
        }
        self.phase = Phase::Searching { owes_retry: false };
        Ok(())
    }

    /// Searches once more later if attempts are open.
    ///
    /// # Errors
    ///
    /// `local_response`, if none is open and no replica's error can be forwarded.
    fn on_search_failed(&mut self, local_response: LocalResponse) -> Result<(), LocalResponse> {
        if self.open.is_empty() && self.server_error.is_none() {
            return Err(local_response);
        }
        self.phase = Phase::Resting(Box::pin(sleep(SEARCH_INTERVAL)));
        Ok(())
    }

    /// Waits for the open attempts only.
    ///
    /// # Errors
    ///
    /// The relay's own response, if none is open and no replica's error can be forwarded.
    fn stop(&mut self) -> Result<(), LocalResponse> {
        if self.open.is_empty() && self.server_error.is_none() {
            return Err(self.request.final_response());
        }
        self.phase = Phase::Waiting;
        Ok(())
    }
}

fn record_send(request: &ForwardedRequest, replica: &BackendName) {
    let node = &request.node;
    let now = node.now();
    let (workload, slowness) = {
        let replicas = node.replicas();
        let known = replicas.get(replica);
        let workload = known.map(|known| known.workload(now)).unwrap_or_default();
        (workload, known.map_or(1.0, |known| replicas.slowness(now, known)))
    };
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
        slowness,
    });
}

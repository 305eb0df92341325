//! Retry policy of one request: what was sent, what is proven to have run or not, and whether
//! another attempt may follow.
//!
//! A request that is proven not to have run may always be sent again; one that may have run,
//! only if its route allows repeats. An attempt that has no response yet counts as one that may
//! have run; where repeats are allowed, another one may be started beside it.

use super::RouteKind;
use crate::names::BackendName;

/// Most sends of one request, including those that were refused without running.
const MAX_SENDS: u32 = 4;

/// How one attempt ended without a response for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request was sent.
    NotSent,
    /// The replica proved that it didn't run the request.
    NotRun,
    /// The request may have run, and no response can be forwarded.
    MaybeRan,
    /// The replica ran the request and responded with an error.
    RanAndFailed,
}

/// Whether another attempt may follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAttempt {
    /// Another replica may be tried.
    Another {
        /// Whether it counts against the retry budget.
        is_retry: bool,
    },
    /// No further attempt is allowed.
    Final(FinalOutcome),
}

/// What the caller is told if no replica's response can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The request didn't run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// State of one request's attempts.
#[derive(Clone, Debug)]
pub struct Attempts {
    kind: RouteKind,
    max_runs: u32,
    sends: u32,
    /// Sends of which no byte arrived.
    unsent: u32,
    runs: u32,
    /// Attempts that have neither a response nor an end yet.
    pending: u32,
    tried: Vec<BackendName>,
}

impl Attempts {
    /// A request that may run `max_runs` times, but at least once.
    pub fn new(kind: RouteKind, max_runs: u32) -> Self {
        Self {
            kind,
            max_runs: max_runs.max(1),
            sends: 0,
            unsent: 0,
            runs: 0,
            pending: 0,
            tried: Vec::new(),
        }
    }

    /// A request that another instance passed on, to run at most once here, and that was sent to `tried`
    /// before.
    pub fn passed_on(kind: RouteKind, tried: Vec<BackendName>) -> Self {
        Self { tried, ..Self::new(kind, 1) }
    }

    /// Records a send to `replica`.
    pub fn on_send(&mut self, replica: BackendName) {
        self.sends += 1;
        self.pending += 1;
        if !self.tried.contains(&replica) {
            self.tried.push(replica);
        }
    }

    /// Records that a replica's response has begun, which counts as a run. All other attempts are
    /// given up; they may have run too.
    pub fn on_response_begun(&mut self) {
        self.runs += self.pending.max(1);
        self.pending = 0;
    }

    /// Records that all pending attempts are given up, since an earlier response goes on.
    pub fn on_given_up(&mut self) {
        self.runs += self.pending;
        self.pending = 0;
    }

    /// Decides whether another attempt may be started beside the pending ones, which have had no
    /// response for long.
    pub fn on_silence(&self) -> NextAttempt {
        self.next()
    }

    /// Records how an attempt ended and decides what may follow.
    pub fn on_end(&mut self, end: AttemptEnd) -> NextAttempt {
        self.pending = self.pending.saturating_sub(1);
        match end {
            AttemptEnd::NotSent => self.unsent += 1,
            AttemptEnd::NotRun => {}
            AttemptEnd::MaybeRan | AttemptEnd::RanAndFailed => self.runs += 1,
        }
        self.next()
    }

    /// Decides what may follow a stream that broke off after it had begun.
    pub fn on_broken_stream(&self) -> NextAttempt {
        self.next()
    }

    /// Replicas that the request was sent to, each once.
    pub fn tried(&self) -> &[BackendName] {
        &self.tried
    }

    /// Number of sends, including those that were refused.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether the request was sent once at most, also by an instance that passed it on.
    pub fn is_first(&self) -> bool {
        self.sends <= 1 && self.tried.len() <= 1
    }

    /// What the caller is told if no further attempt is made.
    pub fn final_outcome(&self) -> FinalOutcome {
        if self.possible_runs() > 0 { FinalOutcome::Unknown } else { FinalOutcome::NotRun }
    }

    fn possible_runs(&self) -> u32 {
        self.runs + self.pending
    }

    fn next(&self) -> NextAttempt {
        let runs = self.possible_runs();
        let repeatable = runs == 0 || self.kind.may_repeat();
        if !repeatable || runs >= self.max_runs || self.sends >= MAX_SENDS {
            return NextAttempt::Final(self.final_outcome());
        }
        NextAttempt::Another { is_retry: self.sends > self.unsent }
    }
}

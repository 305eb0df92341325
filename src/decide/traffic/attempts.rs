//! The attempts of one request: what was sent, what is proven, what may follow.

use super::RouteKind;
use crate::names::BackendName;

/// Sends of one request, those that were refused without running included.
const MAX_SENDS: u32 = 4;

/// How one attempt ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request was sent.
    NotSent,
    /// The replica proved that it didn't run the request.
    NotRun,
    /// The request may have run, and no answer can be passed on.
    MaybeRan,
    /// The replica ran the request and answered with a failure of its own.
    RanAndFailed,
}

/// Whether another attempt may follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAttempt {
    /// Another replica may be tried.
    Another {
        /// Whether it draws on the retry budget.
        is_retry: bool,
    },
    /// No further attempt is allowed.
    Final(FinalAnswer),
}

/// The final answer of a request without an answer of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// It didn't run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    kind: RouteKind,
    max_runs: u32,
    sends: u32,
    runs: u32,
    tried: Vec<BackendName>,
}

impl Attempts {
    /// A request that may run on `max_runs` replicas.
    pub fn new(kind: RouteKind, max_runs: u32) -> Self {
        Self { kind, max_runs: max_runs.max(1), sends: 0, runs: 0, tried: Vec::new() }
    }

    /// Notes that the request goes to a replica.
    pub fn on_send(&mut self, replica: BackendName) {
        self.sends += 1;
        if !self.tried.contains(&replica) {
            self.tried.push(replica);
        }
    }

    /// Notes that an answer of the replica has begun.
    pub fn on_answer_begun(&mut self) {
        self.runs += 1;
    }

    /// Decides what may follow an attempt that ended.
    pub fn on_end(&mut self, end: AttemptEnd) -> NextAttempt {
        match end {
            AttemptEnd::NotSent | AttemptEnd::NotRun => {}
            AttemptEnd::MaybeRan | AttemptEnd::RanAndFailed => self.runs += 1,
        }
        self.next(end != AttemptEnd::NotSent)
    }

    /// Decides what may follow a stream that broke off after it had begun.
    pub fn on_broken_stream(&self) -> NextAttempt {
        self.next(true)
    }

    /// Replicas that the request was sent to.
    pub fn tried(&self) -> &[BackendName] {
        &self.tried
    }

    /// How often the request was sent.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// The answer if nothing more is sent.
    pub fn final_answer(&self) -> FinalAnswer {
        if self.runs > 0 { FinalAnswer::Unknown } else { FinalAnswer::NotRun }
    }

    fn next(&self, arrived: bool) -> NextAttempt {
        let repeatable = self.runs == 0 || self.kind.may_repeat();
        if !repeatable || self.runs >= self.max_runs || self.sends >= MAX_SENDS {
            return NextAttempt::Final(self.final_answer());
        }
        NextAttempt::Another { is_retry: arrived || self.sends > 1 }
    }
}

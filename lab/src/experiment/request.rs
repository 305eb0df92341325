//! One request on its way through the fleet.

use tamaracklead::names::AdapterRef;
use tamaracklead::names::Timestamp;

/// Final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Answered,
    /// Refused, proven not to have run.
    Refused,
    /// The engine failed after the first token.
    Failed,
}

/// State of one request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Adapter that must serve it.
    pub adapter: AdapterRef,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When its first token is due.
    pub deadline: Timestamp,
    /// The caller's first try, if this is a later one.
    pub origin: usize,
    /// Which try of the caller this is, from 0.
    pub caller_try: u32,
    /// Engine that it was last sent to.
    pub engine: usize,
    /// How often it was routed.
    pub routed: u32,
    /// How often it was dispatched.
    pub dispatched: u32,
    /// Whether it runs now.
    pub running: bool,
    /// Since when it waits for a load.
    pub stalled_since: Option<Timestamp>,
    /// Time that it waited for loads, in microseconds.
    pub stall_us: u64,
    /// When its first token came.
    pub first_token: Option<Timestamp>,
    /// How it ended.
    pub outcome: Option<Outcome>,
}

impl Request {
    /// Ends a wait for a load.
    pub fn end_stall(&mut self, now: Timestamp) {
        if let Some(since) = self.stalled_since.take() {
            self.stall_us += now.as_micros() - since.as_micros();
        }
    }

    /// Whether it was answered and its first token came in time.
    pub fn in_time(&self) -> bool {
        self.outcome == Some(Outcome::Answered)
            && self.first_token.is_some_and(|first| first <= self.deadline)
    }
}

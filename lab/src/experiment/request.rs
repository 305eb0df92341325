//! State of one simulated request.

use tamaracklead::names::AdapterRef;
use tamaracklead::names::Timestamp;

/// Final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response was generated.
    Answered,
    /// Refused before any token was generated.
    Refused,
    /// The engine restarted after the first token.
    Failed,
}

/// One attempt of a caller; its retry is a request of its own.
#[derive(Clone, Debug)]
pub struct Request {
    /// Adapter that the request needs.
    pub adapter: AdapterRef,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens to generate.
    pub answer_tokens: u32,
    /// Arrival of this attempt.
    pub arrived: Timestamp,
    /// Time by which the first token is due.
    pub deadline: Timestamp,
    /// Index of the caller's first attempt; its own index if this is the first.
    pub first_attempt: usize,
    /// Number of this attempt of the caller, from 0.
    pub caller_attempt: u32,
    /// Index of the engine that it was routed to last.
    pub engine: usize,
    /// How often the request was routed to an engine.
    pub route_count: u32,
    /// How often an owner dispatched the request to its engine.
    pub dispatch_count: u32,
    /// Whether a dispatch is in progress.
    pub is_running: bool,
    /// Begin of the current load stall; `None` if the request isn't stalled.
    pub stalled_since: Option<Timestamp>,
    /// Sum of its load stalls, in microseconds.
    pub stall_us: u64,
    /// Time of the first token; `None` before it.
    pub first_token_at: Option<Timestamp>,
    /// Final outcome; `None` while the request is queued or running.
    pub outcome: Option<Outcome>,
}

impl Request {
    /// Ends the current load stall, if there is one, and adds it to the sum.
    pub fn end_stall(&mut self, now: Timestamp) {
        if let Some(since) = self.stalled_since.take() {
            self.stall_us += now.as_micros() - since.as_micros();
        }
    }

    /// Whether the request was answered and its first token met the deadline.
    pub fn met_deadline(&self) -> bool {
        self.outcome == Some(Outcome::Answered)
            && self.first_token_at.is_some_and(|first| first <= self.deadline)
    }
}

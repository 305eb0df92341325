//! Which of an adapter's homes a request goes to, by what their owners answer.
//!
//! A home that holds the adapter comes first. If none does, every home costs the same load from the
//! weight store, so the least loaded one takes it, unless one has a copy in its own memory. Rare
//! adapters spread by this over replicas that have time for them.
//!
//! A replica that fails its requests at once always looks idle, so recent failures count as delay.
//! Replicas of one service differ in speed, so the work at a slow one counts for more.

use std::time::Duration;

/// Prompt tokens that an engine reads per millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 38;
/// Delay that each request at a replica adds to a new one.
const DELAY_PER_REQUEST: Duration = Duration::from_millis(12);
/// Delay that a load from the weight store adds, compared with one from the replica's own copy.
const STORE_LOAD_DELAY: Duration = Duration::from_millis(400);
/// Delay that stands for waiting until an adapter slot is free.
const FULL_DELAY: Duration = Duration::from_millis(500);
/// Delay that stands for one recent failure.
const DELAY_PER_FAILURE: Duration = Duration::from_millis(150);
/// Highest score of failures that counts; when many replicas fail a few requests each, none of them
/// is to be avoided at any price.
const MAX_FAILURE_SCORE: f64 = 3.0;
/// Delay that each request that waits for a slot adds.
const DELAY_PER_WAITING_LOAD: Duration = Duration::from_millis(150);

/// Whether a home holds an adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Presence {
    /// It holds this version.
    Held(u64),
    /// It is loading the adapter.
    Loading,
    /// It has a copy in its own memory.
    Copy,
    /// It would have to be loaded from the weight store.
    #[default]
    Absent,
}

/// State of one home, as its owner answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HomeState {
    /// Whether it holds the adapter.
    pub presence: Presence,
    /// Whether it is so busy, also with the adapter, that another home should serve it too.
    pub crowded: bool,
    /// Requests of all instances there.
    pub requests: u32,
    /// Tokens of long prompts that it has yet to read.
    pub backlog_tokens: u64,
    /// Whether no adapter slot is free or can be freed.
    pub is_full: bool,
    /// Requests that wait there for other adapters.
    pub waiting_loads: u32,
    /// Decayed count of recent failures there.
    pub failure_score: f64,
    /// Factor by which work takes longer there than at a typical replica; 0 counts as 1.
    pub slowness: f64,
}

impl HomeState {
    /// Time that a request with so many prompt tokens is expected to wait there for its first token.
    pub fn expected_delay(&self, prompt_tokens: u64) -> Duration {
        let unread = self.backlog_tokens.saturating_add(prompt_tokens);
        let reading = Duration::from_millis(unread / PREFILL_TOKENS_PER_MS);
        let work = reading + DELAY_PER_REQUEST * self.requests;
        let delay = work.mul_f64(self.slowness.max(1.0)) + self.failure_delay();
        match self.presence {
            Presence::Held(_) => delay,
            Presence::Loading => delay + STORE_LOAD_DELAY / 2,
            Presence::Copy => delay + self.slot_delay(),
            Presence::Absent => delay + self.slot_delay() + STORE_LOAD_DELAY,
        }
    }

    /// Whether the request can be served there without another load.
    pub fn serves_now(&self) -> bool {
        matches!(self.presence, Presence::Held(_)) && !self.crowded
    }

    /// A score that another instance sent as no number counts as no failure.
    fn failure_delay(&self) -> Duration {
        let score = if self.failure_score.is_nan() { 0.0 } else { self.failure_score };
        DELAY_PER_FAILURE.mul_f64(score.clamp(0.0, MAX_FAILURE_SCORE))
    }

    fn slot_delay(&self) -> Duration {
        let waiting = DELAY_PER_WAITING_LOAD * self.waiting_loads;
        if self.is_full { FULL_DELAY + waiting } else { waiting }
    }
}

/// Orders homes by preference: those that hold or load the adapter, then the others, each by the
/// expected delay; equal ones stay in their order. Returns indexes into `homes`.
pub fn preferred_homes(homes: &[HomeState], prompt_tokens: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..homes.len()).collect();
    order.sort_by_key(|index| {
        let home = &homes[*index];
        let needs_load = matches!(home.presence, Presence::Copy | Presence::Absent);
        (needs_load, home.expected_delay(prompt_tokens))
    });
    order
}

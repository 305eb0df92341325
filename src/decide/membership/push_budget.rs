//! Bound on the rate of pushed messages.

use super::limits::PUSH_BURST;
use super::limits::PUSHES_PER_SECOND;
use crate::names::Timestamp;

/// Token bucket of pushed messages.
#[derive(Clone, Copy, Debug)]
pub struct PushBudget {
    tokens: f64,
    filled: Timestamp,
}

impl PushBudget {
    /// A full bucket.
    pub fn new(now: Timestamp) -> Self {
        Self { tokens: PUSH_BURST, filled: now }
    }

    /// Takes up to `wanted` tokens and returns how many there were.
    pub fn take(&mut self, now: Timestamp, wanted: usize) -> usize {
        let gained = now.since(self.filled).as_secs_f64() * PUSHES_PER_SECOND;
        self.tokens = (self.tokens + gained).min(PUSH_BURST);
        self.filled = now;
        let taken = wanted.min(self.tokens as usize);
        self.tokens -= taken as f64;
        taken
    }
}

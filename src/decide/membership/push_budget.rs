//! Rate limit on push messages.

use super::limits::PUSH_BURST;
use super::limits::PUSHES_PER_SECOND;
use crate::names::Timestamp;

/// Token bucket; each push message takes one token.
#[derive(Clone, Copy, Debug)]
pub struct PushBudget {
    tokens: f64,
    refilled_at: Timestamp,
}

impl PushBudget {
    /// Creates a full bucket.
    pub fn new(now: Timestamp) -> Self {
        Self { tokens: PUSH_BURST, refilled_at: now }
    }

    /// Takes up to `wanted` tokens; returns how many it took.
    pub fn take(&mut self, now: Timestamp, wanted: usize) -> usize {
        let gained = now.since(self.refilled_at).as_secs_f64() * PUSHES_PER_SECOND;
        self.tokens = (self.tokens + gained).min(PUSH_BURST);
        self.refilled_at = now;
        let taken = wanted.min(self.tokens as usize);
        self.tokens -= taken as f64;
        taken
    }
}

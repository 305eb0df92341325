//! A budget that keeps retries within a set share of the load.
//!
//! Each first try adds a share of a token, each retry takes a whole one; so a
//! fault that fails everything raises the load by the share at most.

/// Retry tokens that each first try adds.
const EARNED_PER_TRY: f64 = 0.1;
/// Most tokens that are kept, and those at the start.
const MOST_TOKENS: f64 = 10.0;

/// Retry tokens of one entry instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MOST_TOKENS }
    }
}

impl RetryBudget {
    /// Notes a first try.
    pub fn on_first_try(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_TRY).min(MOST_TOKENS);
    }

    /// Takes a token for a retry; without one the request gets its final answer.
    pub fn take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

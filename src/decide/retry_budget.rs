//! Retry budget: keeps retries within a fixed share of the first tries.
//!
//! It is a token bucket. Each first try adds a share of a token, each retry takes a
//! whole one, so a fault that fails everything raises the load by that share at most.

/// Retry tokens that each first try adds.
const TOKENS_PER_FIRST_TRY: f64 = 0.1;
/// Most tokens that are kept; also the number at the start.
const MAX_TOKENS: f64 = 10.0;

/// Retry tokens of one entry instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the share of a token that a first try earns.
    pub fn on_first_try(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_FIRST_TRY).min(MAX_TOKENS);
    }

    /// Takes a token for a retry; `false` if there is none, so that the request isn't retried.
    pub fn take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

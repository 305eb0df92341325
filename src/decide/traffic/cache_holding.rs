//! How much of a prompt part a replica's KV cache holds.

use std::time::Duration;

/// Tokens of a prompt part in a replica's KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheHolding {
    /// Number of tokens; zero if it doesn't hold the part.
    pub tokens: u64,
    /// Age of this information.
    pub age: Duration,
}

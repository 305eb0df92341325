//! Amount of work that instances have in progress at a replica.

use serde::Deserialize;
use serde::Serialize;

/// Work in progress at a replica, as sums over requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workload {
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens that the replica still has to read (prefill).
    pub unread_tokens: u64,
    /// Tokens that the requests will occupy in the KV cache at their end.
    pub held_tokens: u64,
}

impl Workload {
    /// Adds work that begins, or that another instance tells of.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.held_tokens = self.held_tokens.saturating_add(other.held_tokens);
    }

    /// Subtracts work that ended, but not below 0.
    pub fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.held_tokens = self.held_tokens.saturating_sub(other.held_tokens);
    }
}

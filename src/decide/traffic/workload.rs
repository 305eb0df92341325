//! The work that instances have at a replica.

use serde::Deserialize;
use serde::Serialize;

/// Work in progress at a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workload {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens that are still to be read.
    pub unread_tokens: u64,
    /// Tokens that the requests take up in memory at their end.
    pub held_tokens: u64,
}

impl Workload {
    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.unread_tokens += other.unread_tokens;
        self.held_tokens += other.held_tokens;
    }

    /// Removes work that ended.
    pub fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.held_tokens = self.held_tokens.saturating_sub(other.held_tokens);
    }
}

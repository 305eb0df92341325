//! One request of a workload.

use tamaracklead::names::Timestamp;

/// A request as it arrives at an entry instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When it arrives.
    pub at: Timestamp,
    /// Number of the adapter.
    pub adapter: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
}

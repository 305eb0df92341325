//! One request of a workload.

use tamaracklead::names::Timestamp;

/// One request as it arrives at an entry instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time from the start of the run.
    pub at: Timestamp,
    /// Index of the adapter, from 0.
    pub adapter: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens to generate.
    pub answer_tokens: u32,
}

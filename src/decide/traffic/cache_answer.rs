//! What one replica's KV cache holds of a prompt.

use super::CacheHolding;
use super::PromptPart;
use crate::names::BackendName;
use crate::names::SoftwareVersion;

/// Tokens that a cache keeps or drops together, so that fewer than these may be missing at the end
/// of a prompt that was read whole.
const BLOCK_TOKENS: u64 = 16;

/// What a replica's KV cache holds of one part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheAnswer {
    /// The replica.
    pub replica: BackendName,
    /// Its software version.
    pub software: SoftwareVersion,
    /// What it holds; `None` if the replica didn't answer.
    pub holding: Option<CacheHolding>,
}

impl CacheAnswer {
    /// Whether the replica may have begun a response to a prompt that ends with the part: it holds
    /// some of that, or didn't answer.
    pub fn may_have_begun(&self) -> bool {
        self.holding.is_none_or(|holding| holding.tokens > 0)
    }

    /// Whether the replica has read `part` to its end, and no more than `output_tokens` beyond it. Other
    /// turns of the same session leave a shorter or a longer part.
    pub fn has_read(&self, part: &PromptPart, output_tokens: u64) -> bool {
        let tokens = self.holding.map_or(0, |holding| holding.tokens);
        let is_whole = tokens > 0 && part.tokens.saturating_sub(tokens) < BLOCK_TOKENS;
        is_whole && tokens.saturating_sub(part.tokens) <= output_tokens
    }
}

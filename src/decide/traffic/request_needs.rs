//! What a request needs of the replica that serves it.

use xxhash_rust::xxh3::xxh3_64;

use super::AdapterKey;
use super::PromptPart;
use super::Workload;
use crate::names::SoftwareVersion;

/// What a request needs of a replica.
#[derive(Clone, Debug)]
pub struct RequestNeeds {
    /// Adapter or base model; `None` if the service has no models.
    pub key: Option<AdapterKey>,
    /// Parts of the prompt, in their order.
    pub parts: Vec<PromptPart>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Most tokens that the output may have.
    pub output_tokens: u64,
    /// Software version that must serve it, that of the stream which it takes up; `None` for any.
    pub software: Option<SoftwareVersion>,
}

impl RequestNeeds {
    /// Parts of the prompt that other prompts may share: all but the last one, which is the
    /// request's own.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Hash of the prompt parts that are shared between requests, which is the same if prompts
    /// begin alike; `None` if no part is shared.
    pub fn shared_prefix(&self) -> Option<u64> {
        let shared = self.shared_parts();
        let ids: Vec<u8> = shared.iter().flat_map(|part| part.id.to_le_bytes()).collect();
        (!shared.is_empty()).then(|| xxh3_64(&ids))
    }

    /// Work of this request at a replica that has read the first `cached_tokens` of its prompt.
    pub fn workload(&self, cached_tokens: u64) -> Workload {
        let unread_tokens = self.prompt_tokens.saturating_sub(cached_tokens);
        Workload {
            requests: 1,
            unread_tokens,
            held_tokens: unread_tokens.saturating_add(self.output_tokens),
        }
    }
}

//! Which parts of prompts a replica has read lately, as far as this instance knows.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use super::AdapterKey;
use crate::names::Timestamp;

/// Parts that are remembered of one replica.
const CAPACITY: usize = 512;

/// One part of a prompt; requests share parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Parts that were read at one replica.
#[derive(Clone, Debug, Default)]
pub struct PrefixTracker {
    read: HashMap<AdapterKey, HashMap<u64, Timestamp>>,
    count: usize,
}

impl PrefixTracker {
    /// Notes that a replica reads a prompt.
    pub fn on_read(&mut self, now: Timestamp, key: &AdapterKey, parts: &[PromptPart]) {
        let parts_of_key = self.read.entry(key.clone()).or_default();
        for part in parts {
            if parts_of_key.insert(part.id, now).is_none() {
                self.count += 1;
            }
        }
        if self.count > CAPACITY {
            self.forget_oldest();
        }
    }

    /// Tokens at the beginning of a prompt that the replica has read before.
    pub fn cached_prefix_tokens(&self, key: &AdapterKey, parts: &[PromptPart]) -> u64 {
        let Some(known) = self.read.get(key) else { return 0 };
        parts.iter().take_while(|part| known.contains_key(&part.id)).map(|part| part.tokens).sum()
    }

    /// Forgets what was read for a key that was unloaded.
    pub fn forget(&mut self, key: &AdapterKey) {
        if let Some(parts) = self.read.remove(key) {
            self.count -= parts.len();
        }
    }

    /// Forgets everything, as after a restart of the replica.
    pub fn clear(&mut self) {
        self.read.clear();
        self.count = 0;
    }

    fn forget_oldest(&mut self) {
        let mut times: Vec<Timestamp> =
            self.read.values().flat_map(|parts| parts.values().copied()).collect();
        times.sort_unstable();
        let Some(middle) = times.get(times.len() / 2).copied() else { return };
        for parts in self.read.values_mut() {
            parts.retain(|_, at| *at > middle);
        }
        self.read.retain(|_, parts| !parts.is_empty());
        self.count = self.read.values().map(HashMap::len).sum();
    }
}

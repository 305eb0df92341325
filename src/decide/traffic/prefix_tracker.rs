//! Which prompt parts a replica has read lately, and so is likely to have in its prefix cache.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use super::AdapterKey;
use crate::names::Timestamp;

/// Most prompt parts that are tracked for one replica; beyond that, the older half is forgotten.
const CAPACITY: usize = 512;

/// One part of a prompt; prompts that begin alike have the same first parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptPart {
    /// Id of the part, the same in all requests that share it.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u64,
}

/// Prompt parts that one replica has read, by adapter and time.
#[derive(Clone, Debug, Default)]
pub struct PrefixTracker {
    read: HashMap<AdapterKey, HashMap<u64, Timestamp>>,
    count: usize,
}

impl PrefixTracker {
    /// Records that the replica reads a prompt.
    pub fn on_read(&mut self, now: Timestamp, key: &AdapterKey, parts: &[PromptPart]) {
        let parts_of_key = self.read.entry(key.clone()).or_default();
        for part in parts {
            if parts_of_key.insert(part.id, now).is_none() {
                self.count += 1;
            }
        }
        if self.count > CAPACITY {
            self.forget_older_half();
        }
    }

    /// Tokens of the longest prefix of a prompt whose parts the replica has all read before.
    pub fn cached_prefix_tokens(&self, key: &AdapterKey, parts: &[PromptPart]) -> u64 {
        let Some(known) = self.read.get(key) else { return 0 };
        let read = parts.iter().take_while(|part| known.contains_key(&part.id));
        read.map(|part| part.tokens).fold(0, u64::saturating_add)
    }

    /// Forgets what was read for a key that the replica no longer holds.
    pub fn forget(&mut self, key: &AdapterKey) {
        if let Some(parts) = self.read.remove(key) {
            self.count -= parts.len();
        }
    }

    /// Forgets everything, after a restart of the replica.
    pub fn clear(&mut self) {
        self.read.clear();
        self.count = 0;
    }

    fn forget_older_half(&mut self) {
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

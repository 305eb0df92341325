//! Registry of engine shards: the engines that this instance owns, and lost ones until idle.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use super::engine_shard::EngineShard;
use crate::names::BackendName;

/// Engine shards by name; the lock covers the registry, not the shards.
#[derive(Debug, Default)]
pub struct EngineShards {
    shards: RwLock<BTreeMap<BackendName, Arc<EngineShard>>>,
}

impl EngineShards {
    /// Shard of an engine; `None` if there is none here.
    pub fn get(&self, name: &BackendName) -> Option<Arc<EngineShard>> {
        self.shards.read().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }

    /// Shard of an engine, inserted if absent; true if it was inserted.
    pub fn get_or_insert(
        &self,
        name: &BackendName,
        make: impl FnOnce() -> EngineShard,
    ) -> (Arc<EngineShard>, bool) {
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(shard) = shards.get(name) {
            return (Arc::clone(shard), false);
        }
        let shard = Arc::new(make());
        shards.insert(name.clone(), Arc::clone(&shard));
        (shard, true)
    }

    /// Drops the shard of an engine that is no longer owned, or no longer listed at its address.
    pub fn remove(&self, name: &BackendName) {
        self.shards.write().unwrap_or_else(PoisonError::into_inner).remove(name);
    }

    /// All shards, in the order of their engines' names.
    pub fn all(&self) -> Vec<Arc<EngineShard>> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards.values().cloned().collect()
    }
}

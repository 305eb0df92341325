//! The engines that this instance works for, by name.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use super::engine_shard::EngineShard;
use crate::names::BackendName;

/// The engines that this instance works for.
#[derive(Debug, Default)]
pub struct EngineShards {
    shards: RwLock<BTreeMap<BackendName, Arc<EngineShard>>>,
}

impl EngineShards {
    /// One engine, if this instance works for it.
    pub fn get(&self, name: &BackendName) -> Option<Arc<EngineShard>> {
        self.shards.read().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }

    /// One engine, made if it is new; and whether it is.
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

    /// Forgets an engine.
    pub fn remove(&self, name: &BackendName) {
        self.shards.write().unwrap_or_else(PoisonError::into_inner).remove(name);
    }

    /// Every engine.
    pub fn all(&self) -> Vec<Arc<EngineShard>> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards.values().cloned().collect()
    }
}

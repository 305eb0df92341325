//! The engines that this instance works for, by name.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;

use tokio::sync::Mutex as AsyncMutex;

use super::engine_shard::EngineShard;
use crate::names::BackendName;

/// The engines that this instance works for.
#[derive(Debug, Default)]
pub struct EngineShards {
    shards: RwLock<BTreeMap<BackendName, Arc<EngineShard>>>,
    takeovers: Mutex<BTreeMap<BackendName, Arc<AsyncMutex<()>>>>,
}

impl EngineShards {
    /// One engine, if this instance works for it.
    pub fn get(&self, name: &BackendName) -> Option<Arc<EngineShard>> {
        self.shards.read().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }

    /// Lock under which one task at a time takes an engine over.
    ///
    /// A second takeover would raise the fencing number above that of the first.
    pub fn takeover_lock(&self, name: &BackendName) -> Arc<AsyncMutex<()>> {
        let mut takeovers = self.takeovers.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(takeovers.entry(name.clone()).or_default())
    }

    /// Adds an engine.
    pub fn insert(&self, shard: EngineShard) -> Arc<EngineShard> {
        let shard = Arc::new(shard);
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        shards.insert(shard.name.clone(), Arc::clone(&shard));
        shard
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

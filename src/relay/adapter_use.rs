//! A request that is about to use an adapter.

use std::sync::Arc;

use super::exchange;
use super::node::Node;
use crate::decide::traffic::AdapterKey;
use crate::names::BackendName;

/// Keeps an adapter at a replica until this is dropped.
pub struct AdapterUse {
    node: Arc<Node>,
    replica: BackendName,
    key: AdapterKey,
}

impl AdapterUse {
    /// Keeps `key` at `replica`.
    pub fn new(node: &Arc<Node>, replica: &BackendName, key: &AdapterKey) -> Self {
        let uses = node.replicas().get_mut(replica).map(|known| known.begin_use(key));
        if uses == Some(1) {
            exchange::notify_owner_of_use(node, replica, key, 1);
        }
        Self { node: Arc::clone(node), replica: replica.clone(), key: key.clone() }
    }
}

impl Drop for AdapterUse {
    fn drop(&mut self) {
        let mut replicas = self.node.replicas();
        let left = replicas.get_mut(&self.replica).map(|known| known.end_use(&self.key));
        drop(replicas);
        if left == Some(0) {
            exchange::notify_owner_of_use(&self.node, &self.replica, &self.key, 0);
        }
    }
}

//! Counts the use of an adapter at a replica by a request that is about to be sent there.

use std::sync::Arc;

use super::node::Node;
use super::notices;
use crate::decide::traffic::AdapterKey;
use crate::names::BackendName;

/// Keeps an adapter loaded at a replica until this guard is dropped.
pub struct AdapterUse {
    node: Arc<Node>,
    replica: BackendName,
    key: AdapterKey,
}

impl AdapterUse {
    /// Begins a use of `key`; the owner of `replica` is told if it is the first one.
    pub fn new(node: &Arc<Node>, replica: &BackendName, key: &AdapterKey) -> Self {
        let uses = node.replicas().get_mut(replica).map(|known| known.begin_use(key));
        if uses == Some(1) {
            notices::notify_owner_of_use(node, replica, key, 1);
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
            notices::notify_owner_of_use(&self.node, &self.replica, &self.key, 0);
        }
    }
}

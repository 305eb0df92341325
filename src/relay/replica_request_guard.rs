//! Counts a request in progress in the workload that this instance has at a replica.

use std::sync::Arc;

use super::node::Node;
use super::notices;
use super::turns::PromptTurn;
use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::Workload;
use crate::names::BackendName;
use crate::send_permits::SendPermit;

/// A request in progress at a replica, counted until this guard is dropped.
pub struct ReplicaRequestGuard {
    node: Arc<Node>,
    replica: BackendName,
    workload: Workload,
    key: Option<AdapterKey>,
    has_response: bool,
    turn: Option<PromptTurn>,
    permit: Option<SendPermit>,
}

impl ReplicaRequestGuard {
    /// Counts a request that is sent now; `turn`, that of a long prompt, ends when the prompt has
    /// been read, and `permit`, if the replica names a limit, when the request has ended.
    pub fn start(
        node: &Arc<Node>,
        replica: &BackendName,
        workload: Workload,
        key: Option<AdapterKey>,
        turn: Option<PromptTurn>,
        permit: Option<SendPermit>,
    ) -> Self {
        let now = node.now();
        let uses = node
            .replicas()
            .get_mut(replica)
            .map(|known| known.on_sent(now, workload, key.as_ref()));
        if let (Some(1), Some(key)) = (uses, &key) {
            notices::notify_owner_of_use(node, replica, key, 1);
        }
        Self {
            node: Arc::clone(node),
            replica: replica.clone(),
            workload,
            key,
            has_response: false,
            turn,
            permit,
        }
    }

    /// A request that another instance, `name`, sends to a replica and counts there.
    pub fn elsewhere(node: &Arc<Node>, name: &BackendName) -> Self {
        Self {
            node: Arc::clone(node),
            replica: name.clone(),
            workload: Workload::default(),
            key: None,
            has_response: false,
            turn: None,
            permit: None,
        }
    }

    /// Notes that the replica has turned the request away.
    pub fn on_rejected(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.on_rejected();
        }
    }

    /// Notes that the head of the response has arrived.
    pub fn on_response_begun(&mut self) {
        let now = self.node.now();
        self.has_response = true;
        if let Some(known) = self.node.replicas().get_mut(&self.replica) {
            known.on_response_begun(now);
        }
    }

    /// Notes that bytes of the response have arrived.
    pub fn on_bytes_received(&self) {
        let now = self.node.now();
        if let Some(known) = self.node.replicas().get_mut(&self.replica) {
            known.on_bytes_received(now);
        }
    }

    /// Notes that the first event has arrived: the prompt has been read, so its tokens no longer
    /// count and its turn ends.
    pub fn on_event(&mut self) {
        let now = self.node.now();
        let read = Workload { unread_tokens: self.workload.unread_tokens, ..Workload::default() };
        self.workload.unread_tokens = 0;
        self.turn = None;
        if let Some(known) = self.node.replicas().get_mut(&self.replica) {
            known.own_workload.remove(read);
            known.on_bytes_received(now);
        }
    }
}

impl Drop for ReplicaRequestGuard {
    fn drop(&mut self) {
        let uses = self.node.replicas().get_mut(&self.replica).map(|known| {
            if !self.has_response {
                known.on_ended_without_response();
            }
            known.on_request_ended(self.workload, self.key.as_ref())
        });
        if let (Some(0), Some(key)) = (uses, &self.key) {
            notices::notify_owner_of_use(&self.node, &self.replica, key, 0);
        }
    }
}

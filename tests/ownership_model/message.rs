//! Messages between the instances and the engine.

use tamaracklead::decide::ownership::LeaseRelease;
use tamaracklead::decide::ownership::LeaseReply;
use tamaracklead::decide::ownership::LeaseRequest;
use tamaracklead::names::FencingNumber;

use crate::engine::Answer;
use crate::engine::Call;

#[derive(Clone, Debug)]
pub enum Body {
    Request(LeaseRequest),
    Reply(LeaseReply),
    Release(LeaseRelease),
    Call { id: u64, fencing: FencingNumber, call: Call },
    Answer { id: u64, answer: Answer },
}

#[derive(Clone, Debug)]
pub struct Message {
    pub from: usize,
    /// Incarnation of the sender or, for answers, of the receiver.
    pub incarnation: u64,
    pub to: usize,
    pub sent: u64,
    pub body: Body,
    /// Delayed in the network: only `Step::Deliver` delivers it.
    pub delayed: bool,
}

impl Message {
    /// Whether it orders the engine to unload an adapter.
    pub fn is_unload(&self) -> bool {
        matches!(self.body, Body::Call { call: Call::Unload(_), .. })
    }
}

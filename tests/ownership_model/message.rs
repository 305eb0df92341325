//! What instances and the engine send each other.

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
    pub life: u64,
    pub to: usize,
    pub sent: u64,
    pub body: Body,
    /// Held up in the network: only a step of its own delivers it.
    pub delayed: bool,
}

impl Message {
    /// Whether it orders the engine to unload an adapter.
    pub fn is_unload(&self) -> bool {
        matches!(self.body, Body::Call { call: Call::Unload(_), .. })
    }
}

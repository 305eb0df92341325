//! Messages on the faulty network.

use tamaracklead::decide::submissions::Verdict;
use tamaracklead::error::Result;
use tamaracklead::names::Incarnation;
use tamaracklead::names::RequestId;

/// One incarnation of an instance at one end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    pub node: usize,
    pub incarnation: Incarnation,
}

/// Receiver of the answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyTo {
    Caller { send: usize },
    Peer { process: Process, forward: usize },
}

#[derive(Clone, Debug)]
pub enum Message {
    Ticket { token: String, id: RequestId, expires_in_ms: u64 },
    Submit { node: usize, send: usize, token: String, body: u8 },
    Forward { from: Process, node: usize, forward: usize, token: String, body: u8 },
    Forwarded { to: Process, forward: usize, verdict: Verdict },
    Answer { send: usize, id: Option<RequestId>, result: Result<String> },
    DeskCall { from: Process, task: usize, id: RequestId, body: u8 },
    DeskAnswer { to: Process, task: usize, answer: DeskAnswer },
}

#[derive(Clone, Debug)]
pub enum DeskAnswer {
    Receipt(String),
    Status(u16),
}

//! One entry instance of the model, with its submission table and its tasks.

use std::collections::BTreeMap;

use tamaracklead::decide::submissions::Attempt;
use tamaracklead::decide::submissions::SendPermit;
use tamaracklead::decide::submissions::SubmissionTable;
use tamaracklead::decide::submissions::SubmissionTableLimits;
use tamaracklead::decide::submissions::Ticket;
use tamaracklead::names::Incarnation;
use tamaracklead::names::InstanceName;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;

use crate::message::Process;
use crate::message::ReplyTo;

/// Replicas of the desk that one attempt may try.
pub const REPLICAS: usize = 2;
/// Difference between the clocks of one process and the next, in milliseconds.
const CLOCK_STEP_MS: u64 = 777_777;

/// A running attempt.
#[derive(Debug)]
pub enum Task {
    Connecting { attempt: Attempt, body: u8, tried: usize },
    Sending { permit: SendPermit, body: u8, tried: usize },
}

/// A request that waits for the outcome of a running submission.
#[derive(Debug)]
pub struct Waiting {
    pub ticket: Ticket,
    pub body: u8,
    pub reply_to: ReplyTo,
}

#[derive(Debug)]
pub struct Node {
    pub index: usize,
    pub name: InstanceName,
    pub incarnation: Incarnation,
    pub alive: bool,
    pub paused: bool,
    /// Real time at which this process started.
    pub started_ms: u64,
    pub table: SubmissionTable,
    pub tasks: BTreeMap<usize, Task>,
    pub waiting: Vec<Waiting>,
    /// Forwarded submissions without an answer yet, by their numbers.
    pub forwards: BTreeMap<usize, PendingForward>,
}

#[derive(Clone, Debug)]
pub struct PendingForward {
    pub ticket: Ticket,
    pub reply_to: ReplyTo,
}

impl Node {
    pub fn new(index: usize, started_ms: u64, incarnation: Incarnation) -> Self {
        let name = InstanceName::new(&format!("entry.{index}.cairo"));
        Self {
            index,
            name: name.clone(),
            incarnation,
            alive: true,
            paused: false,
            started_ms,
            table: SubmissionTable::new(name, incarnation, SubmissionTableLimits::default()),
            tasks: BTreeMap::new(),
            waiting: Vec::new(),
            forwards: BTreeMap::new(),
        }
    }

    pub fn process(&self) -> Process {
        Process { node: self.index, incarnation: self.incarnation }
    }

    pub fn is(&self, process: Process) -> bool {
        self.alive && self.incarnation == process.incarnation
    }

    pub fn can_act(&self) -> bool {
        self.alive && !self.paused
    }

    /// This process's clock at a real time.
    pub fn clock(&self, now_ms: u64) -> Timestamp {
        let skew_ms = (self.incarnation.0 * CLOCK_STEP_MS) % (10 * CLOCK_STEP_MS);
        Timestamp::from_millis(now_ms.saturating_sub(self.started_ms) + skew_ms)
    }

    pub fn take_waiting(&mut self, id: RequestId) -> Vec<Waiting> {
        let (taken, kept) = self.waiting.drain(..).partition(|w| w.ticket.id == id);
        self.waiting = kept;
        taken
    }
}

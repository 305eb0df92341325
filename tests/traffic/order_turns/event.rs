//! What happens in a run.

use super::instance::Handover;
use super::instance::INSTANCES;
use super::replica::Answer;
use super::replica::Report;

/// What happens at some time; `process` is the one that the event is for, which may be gone.
#[derive(Clone, Debug)]
pub enum Event {
    Tick { process: Process },
    AskArrives { process: Process },
    ReportBack { process: Process, report: Option<Report> },
    OrderArrives { process: Process, expected: u64, key: u32, lost_reply: bool },
    OrderBack { process: Process, key: u32, answer: Option<Answer> },
    HandoverArrives { handover: Handover },
    Learn { who: usize, subject: usize, is_candidate: bool },
    Stop { who: Target, ends_in: u64 },
    Kill { who: Target, restarts_in: u64 },
    Exit { process: Process, restarts_in: u64 },
    Start { who: usize },
    Pause { who: Target, lasts: u64 },
    Cut { group: [bool; INSTANCES], lasts: u64 },
    Healed,
    Misjudge { subject: Target, lasts: u64 },
    RestartReplica,
    KeepBusy { lasts: u64 },
    Gossip,
}

/// The instance that a fault strikes.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    Instance(usize),
    /// The one that gave the last order.
    Holder,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    pub who: usize,
    pub life: u32,
}

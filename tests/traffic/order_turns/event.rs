//! What happens in a run.

use super::instance::Handover;
use super::instance::INSTANCES;
use super::replica::Answer;
use super::replica::Order;
use super::replica::Report;

/// What happens at some time; `process` is the one that the event is for, which may be gone.
#[derive(Clone, Debug)]
pub enum Event {
    Tick {
        process: Process,
    },
    AskArrives {
        process: Process,
    },
    ReportBack {
        process: Process,
        report: Option<Report>,
    },
    /// An order to the replica that started at `started_ms`.
    OrderArrives {
        process: Process,
        started_ms: u64,
        order: Order,
        lost_reply: bool,
    },
    OrderBack {
        process: Process,
        key: u32,
        answer: Option<Answer>,
    },
    HandoverArrives {
        handover: Handover,
    },
    Learn {
        who: usize,
        subject: usize,
        is_candidate: bool,
    },
    Stop {
        who: Target,
        ends_in: u64,
    },
    Kill {
        who: Target,
        restarts_in: u64,
    },
    Exit {
        process: Process,
        restarts_in: u64,
    },
    Start {
        who: usize,
    },
    Pause {
        who: Target,
        lasts: u64,
    },
    Cut {
        group: [bool; INSTANCES],
        lasts: u64,
    },
    Healed,
    Misjudge {
        subject: Target,
        lasts: u64,
    },
    RestartReplica,
    /// Another replica comes in its place, which answers `ready_in` ms later.
    ReplaceReplica {
        ready_in: u64,
    },
    KeepBusy {
        lasts: u64,
    },
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

//! A replica that this instance owns: its lease, and what it holds and should load.

use std::time::Duration;

use crate::decide::traffic::FirstReport;
use crate::decide::traffic::OrderLease;
use crate::decide::traffic::PrefixTracker;
use crate::decide::traffic::PromptTurns;
use crate::decide::traffic::ReplicaPace;
use crate::decide::traffic::ReplicaPlan;
use crate::names::Timestamp;

/// State of a replica that this instance owns or is about to own.
#[derive(Debug)]
pub struct ReplicaOwnership {
    /// Lease on its orders.
    pub lease: OrderLease,
    /// What it should hold and load.
    pub plan: ReplicaPlan,
    /// Turns of the long prompts that it reads.
    pub turns: PromptTurns,
    /// Parts of long prompts that it has read.
    pub prefixes: PrefixTracker,
    /// Its speed, by the streams of all instances.
    pub pace: ReplicaPace,
    /// When the replica started, in Unix milliseconds; 0 until that is known.
    pub started_ms: u64,
    /// Whether a call to it is pending.
    pub has_pending_call: bool,
    /// When it may be asked for a report again.
    pub next_report: Timestamp,
    /// When this instance began to own it.
    pub taken_over_at: Timestamp,
}

impl ReplicaOwnership {
    /// A replica that this instance begins to own; leases of orders last for `lease`.
    pub fn new(now: Timestamp, lease: Duration) -> Self {
        Self {
            lease: OrderLease::new(lease),
            plan: ReplicaPlan::default(),
            turns: PromptTurns::default(),
            prefixes: PrefixTracker::default(),
            pace: ReplicaPace::default(),
            started_ms: 0,
            has_pending_call: false,
            next_report: now,
            taken_over_at: now,
        }
    }

    /// Time until orders may be given, or until a first report may show what the replica holds; `None`
    /// if another instance should give orders.
    pub fn orders_in(&self, now: Timestamp) -> Option<Duration> {
        let report = match self.started_ms {
            0 => FirstReport::Missing { since: self.taken_over_at },
            _ => FirstReport::Read,
        };
        report.ask_again_in(now, self.lease.orders_in(now))
    }
}

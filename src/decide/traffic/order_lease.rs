//! Which instance may give orders to one replica.
//!
//! The replica counts the orders that it accepted. An instance that should give
//! orders first watches that count stand still for the lease time, so that an
//! earlier holder has either stopped or is seen. It then holds the lease until it
//! no longer should, or until the count moves without it. A holder that leaves hands
//! the lease over, so that its successor need not watch. Replicas need not check
//! fencing numbers; those of later holders are higher all the same.

use std::time::Duration;

use crate::names::Timestamp;

/// Longest time by which a replica's report lags.
const REPORT_LAG: Duration = Duration::from_millis(400);

/// What a holder has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing; another instance gives the orders.
    Standby,
    /// Ask the replica for a report.
    AskReport,
    /// Wait.
    Wait,
    /// Orders may be given.
    Hold,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Standby,
    Watching { since: Timestamp, seen: Option<(u64, u64)> },
    Holding { fence: u64, started_ms: u64, count: u64, checked: Timestamp, ordered: Timestamp },
}

/// One instance's lease on the orders of one replica.
#[derive(Clone, Debug)]
pub struct OrderLease {
    lease: Duration,
    state: State,
}

impl OrderLease {
    /// A lease of this length, held by nobody as far as is known.
    pub fn new(lease: Duration) -> Self {
        Self { lease, state: State::Standby }
    }

    /// Decides the next step; `wanted` says whether this instance should hold the lease.
    pub fn step(&mut self, now: Timestamp, wanted: bool) -> LeaseStep {
        if !wanted {
            self.state = State::Standby;
        }
        match self.state {
            State::Standby if wanted => {
                self.state = State::Watching { since: now, seen: None };
                LeaseStep::AskReport
            }
            State::Standby => LeaseStep::Standby,
            State::Watching { seen: None, .. } => LeaseStep::AskReport,
            State::Watching { since, .. } if now.since(since) >= self.watch_time() => {
                LeaseStep::AskReport
            }
            State::Watching { .. } => LeaseStep::Wait,
            State::Holding { checked, .. } if now.since(checked) >= self.lease / 2 => {
                LeaseStep::AskReport
            }
            State::Holding { .. } => LeaseStep::Hold,
        }
    }

    /// Takes a report; `fence` is the number for a new tenure.
    pub fn on_report(&mut self, now: Timestamp, started_ms: u64, count: u64, fence: u64) {
        match &mut self.state {
            State::Standby => {}
            State::Watching { since, seen } => {
                if *seen != Some((started_ms, count)) {
                    *seen = Some((started_ms, count));
                    *since = now;
                } else if now.since(*since) >= self.lease + REPORT_LAG {
                    self.state =
                        State::Holding { fence, started_ms, count, checked: now, ordered: now };
                }
            }
            State::Holding { started_ms: known_start, count: known, checked, ordered, .. } => {
                if *known_start == started_ms && count <= *known {
                    *checked = now;
                    if now.since(*ordered) >= REPORT_LAG {
                        *known = count;
                    }
                } else if *known_start != started_ms && count == 0 {
                    *known_start = started_ms;
                    *known = 0;
                    *checked = now;
                } else {
                    let seen = Some((started_ms, count));
                    self.state = State::Watching { since: now, seen };
                }
            }
        }
    }

    /// Notes that the replica accepted an order of this instance.
    pub fn on_accepted(&mut self, now: Timestamp) {
        if let State::Holding { count, checked, ordered, .. } = &mut self.state {
            *count += 1;
            *checked = now;
            *ordered = now;
        }
    }

    /// Notes that the replica answered an order that it doesn't count, since it holds already.
    pub fn on_confirmed(&mut self, now: Timestamp) {
        if let State::Holding { checked, .. } = &mut self.state {
            *checked = now;
        }
    }

    /// Notes that an order was refused because the replica is busy or its count differs.
    pub fn on_conflict(&mut self) {
        if let State::Holding { checked, .. } = &mut self.state {
            *checked = Timestamp::ZERO;
        }
    }

    /// Notes that an order may or may not have been accepted.
    pub fn on_uncertain(&mut self, now: Timestamp) {
        if self.state != State::Standby {
            self.state = State::Watching { since: now, seen: None };
        }
    }

    /// Takes over from a holder that gives no orders any more.
    pub fn on_handover(&mut self, now: Timestamp, started_ms: u64, count: u64, fence: u64) {
        let checked = Timestamp::ZERO;
        self.state = State::Holding { fence, started_ms, count, checked, ordered: now };
    }

    /// Gives the lease up, if it is held; returns start and count of the replica and the fence.
    pub fn release(&mut self) -> Option<(u64, u64, u64)> {
        let State::Holding { fence, started_ms, count, .. } = self.state else { return None };
        self.state = State::Standby;
        Some((started_ms, count, fence))
    }

    /// Fencing number and count of orders to send with an order, if the lease is held.
    pub fn fence_and_count(&self) -> Option<(u64, u64)> {
        match self.state {
            State::Holding { fence, count, .. } => Some((fence, count)),
            State::Standby | State::Watching { .. } => None,
        }
    }

    /// Whether the lease is held.
    pub fn is_held(&self) -> bool {
        matches!(self.state, State::Holding { .. })
    }

    fn watch_time(&self) -> Duration {
        self.lease + REPORT_LAG
    }
}

//! Lease on the orders of one replica: whether this instance may order loads and unloads.
//!
//! The replica counts the orders that it accepts. An instance that should give orders first
//! waits until that count has not changed for the lease time, so that an earlier holder has
//! either stopped or been noticed. While loads are in progress, which a holder may poll by orders
//! that aren't counted, the wait doesn't begin. The instance then holds the lease until it no
//! longer should, or until the count changes by orders of another instance. A holder that leaves
//! hands the lease over, so that its successor need not wait. Replicas need not check fencing
//! numbers; those of later holders are higher all the same.
//!
//! Instances that don't hear each other may watch an idle replica at the same time and all acquire
//! its lease. Its order count lets only one of them order adapters. The load of a base model isn't
//! refused that way while another one is in progress, so each instance gives those that rank above
//! it for the replica a head start, and then asks for one more report.

use std::time::Duration;

use super::LoadActivity;
use super::order_watch::OrderWatch;
use crate::names::Timestamp;

/// Longest time by which a replica's report lags behind its state.
const REPORT_LAG: Duration = Duration::from_millis(400);
/// Time by which two instances of consecutive ranks are kept apart: the lag of a report, and the
/// time by which they may begin to watch the replica one after the other.
const HEAD_START: Duration = Duration::from_secs(2);
/// Rank from which on the head start doesn't grow.
const MAX_RANK: u32 = 2;

/// What an instance has to do next about the orders of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing: another instance gives the orders.
    Standby,
    /// Ask the replica for a report.
    AskReport,
    /// Wait until the order count has been unchanged for the lease time.
    Wait,
    /// Orders may be given: the lease is held.
    Hold,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Standby,
    Watching(OrderWatch),
    Holding {
        fence: u64,
        started_ms: u64,
        count: u64,
        last_checked: Timestamp,
        last_ordered: Timestamp,
        /// When the first order may be given.
        orders_from: Timestamp,
    },
}

/// One instance's lease on the orders of one replica.
#[derive(Clone, Debug)]
pub struct OrderLease {
    lease: Duration,
    /// Time for which instances of higher rank may give the first order.
    head_start: Duration,
    state: State,
}

impl OrderLease {
    /// A lease of this duration that this instance doesn't hold.
    pub fn new(lease: Duration) -> Self {
        Self { lease, head_start: Duration::ZERO, state: State::Standby }
    }

    /// Sets how many instances, live or not, rank above this one for a replica that holds no base
    /// model; zero for other replicas, whose order count lets only one instance order.
    pub fn set_rank(&mut self, rank: usize) {
        let rank = u32::try_from(rank).unwrap_or(MAX_RANK).min(MAX_RANK);
        self.head_start = HEAD_START * rank;
    }

    /// Decides the next step; `should_hold` is whether this instance should hold the lease.
    pub fn step(&mut self, now: Timestamp, should_hold: bool) -> LeaseStep {
        if !should_hold {
            self.state = State::Standby;
        }
        let watch_time = self.watch_time();
        match self.state {
            State::Standby if should_hold => {
                self.state = State::Watching(OrderWatch::default());
                LeaseStep::AskReport
            }
            State::Standby => LeaseStep::Standby,
            State::Watching(watch)
                if watch.quiet_for(now).is_some_and(|quiet| quiet < watch_time) =>
            {
                LeaseStep::Wait
            }
            State::Watching(_) => LeaseStep::AskReport,
            State::Holding { last_checked, .. } if now.since(last_checked) >= self.lease / 2 => {
                LeaseStep::AskReport
            }
            State::Holding { orders_from, .. } if now < orders_from => LeaseStep::Wait,
            State::Holding { orders_from, last_checked, .. }
                if !self.head_start.is_zero() && last_checked < orders_from =>
            {
                LeaseStep::AskReport
            }
            State::Holding { .. } => LeaseStep::Hold,
        }
    }

    /// Applies the start time and order count that the replica reports, and the loads in progress;
    /// `fence` is the fencing number for the case that this acquires the lease.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        started_ms: u64,
        count: u64,
        activity: LoadActivity,
        fence: u64,
    ) {
        let watch_time = self.watch_time();
        let first_order = now + self.head_start;
        match &mut self.state {
            State::Standby => {}
            State::Watching(watch) => {
                watch.on_report(now, (started_ms, count), activity);
                if watch.quiet_for(now).is_some_and(|quiet| quiet >= watch_time) {
                    self.state = State::Holding {
                        fence,
                        started_ms,
                        count,
                        last_checked: now,
                        last_ordered: now,
                        orders_from: first_order,
                    };
                }
            }
            State::Holding {
                started_ms: known_start,
                count: known,
                last_checked,
                last_ordered,
                orders_from,
                ..
            } => {
                if *known_start == started_ms && count <= *known {
                    *last_checked = now;
                    if now.since(*last_ordered) >= REPORT_LAG {
                        *known = count;
                    }
                } else if *known_start != started_ms && count == 0 {
                    *known_start = started_ms;
                    *known = 0;
                    *last_checked = now;
                    *orders_from = first_order.max(*orders_from);
                } else {
                    let mut watch = OrderWatch::default();
                    watch.on_report(now, (started_ms, count), activity);
                    self.state = State::Watching(watch);
                }
            }
        }
    }

    /// Records that the replica accepted and counted an order of this instance.
    pub fn on_accepted(&mut self, now: Timestamp) {
        if let State::Holding { count, last_checked, last_ordered, .. } = &mut self.state {
            *count = count.saturating_add(1);
            *last_checked = now;
            *last_ordered = now;
        }
    }

    /// Records that the replica answered an order without counting it: it holds the adapter
    /// already, or the order repeats one that it has accepted.
    pub fn on_confirmed(&mut self, now: Timestamp) {
        if let State::Holding { last_checked, .. } = &mut self.state {
            *last_checked = now;
        }
    }

    /// Records that an order was refused because the replica is busy or its count differs, so that
    /// a report is due.
    pub fn on_conflict(&mut self) {
        if let State::Holding { last_checked, .. } = &mut self.state {
            *last_checked = Timestamp::ZERO;
        }
    }

    /// Records that an order may or may not have been accepted, which ends the lease.
    pub fn on_uncertain(&mut self) {
        if self.state != State::Standby {
            self.state = State::Watching(OrderWatch::default());
        }
    }

    /// Takes the lease over from a holder that gives no more orders; a report is due.
    ///
    /// The first order is given after `wait`, the time for which this instance, as an earlier
    /// holder, must not take another turn.
    pub fn on_handover(
        &mut self,
        now: Timestamp,
        started_ms: u64,
        count: u64,
        fence: u64,
        wait: Duration,
    ) {
        let last_checked = Timestamp::ZERO;
        self.state = State::Holding {
            fence,
            started_ms,
            count,
            last_checked,
            last_ordered: now,
            orders_from: now + wait,
        };
    }

    /// Releases the lease; returns the replica's start time in Unix milliseconds, its order count
    /// and the fencing number, or `None` if the lease isn't held.
    pub fn release(&mut self) -> Option<(u64, u64, u64)> {
        let State::Holding { fence, started_ms, count, .. } = self.state else { return None };
        self.state = State::Standby;
        Some((started_ms, count, fence))
    }

    /// Fencing number and expected order count to send with an order; `None` unless the lease is
    /// held and orders may be given.
    pub fn fence_and_count(&self, now: Timestamp) -> Option<(u64, u64)> {
        match self.state {
            State::Holding { fence, count, orders_from, .. } if now >= orders_from => {
                Some((fence, count))
            }
            State::Standby | State::Watching(_) | State::Holding { .. } => None,
        }
    }

    /// Time until orders may be given if nothing comes in between: zero if they may, `None` if
    /// another instance should give them.
    pub fn orders_in(&self, now: Timestamp) -> Option<Duration> {
        match self.state {
            State::Standby => None,
            State::Watching(watch) => {
                Some(self.watch_time().saturating_sub(watch.quiet_for(now).unwrap_or_default()))
            }
            State::Holding { orders_from, .. } => Some(orders_from.since(now)),
        }
    }

    /// Whether this instance holds the lease.
    pub fn is_held(&self) -> bool {
        matches!(self.state, State::Holding { .. })
    }

    /// Time for which the order count must be unchanged before the lease is acquired.
    pub fn watch_time(&self) -> Duration {
        self.lease + REPORT_LAG
    }
}

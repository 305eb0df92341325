//! An instance as the relay's control loop for its replicas runs it.
//!
//! The plan of the replica is reduced to loads that are polled until they are done.

use std::collections::BTreeMap;

use tamaracklead::decide::traffic::GivingUp;
use tamaracklead::decide::traffic::HolderHistory;
use tamaracklead::decide::traffic::HolderWait;
use tamaracklead::decide::traffic::LeaseStep;
use tamaracklead::decide::traffic::LoadActivity;
use tamaracklead::decide::traffic::LoadInProgress;
use tamaracklead::decide::traffic::OrderLease;
use tamaracklead::names::InstanceName;

use super::replica::Answer;
use super::replica::MODEL;
use super::replica::Order;
use super::replica::Report;
use crate::support::at;
use crate::support::ms;
use crate::support::name;

pub const INSTANCES: usize = 4;
pub const LEASE_MS: u64 = 3000;
/// The lease, and the time by which reports lag.
const WAIT_MS: u64 = 3400;
/// The limits of src/relay/orders.rs and replica_plan.rs, in ms.
const MAX_PROCESS_PAUSE_MS: u64 = 600;
const PENDING_REPORT_INTERVAL_MS: u64 = 60;
const FAILED_REPORT_DELAY_MS: u64 = 400;
const ORDER_MEMORY_MS: u64 = 600;
const MODEL_LOAD_TIMEOUT_MS: u64 = 5000;

#[derive(Clone, Debug)]
pub struct Handover {
    pub to: usize,
    pub started_ms: u64,
    pub count: u64,
    pub loading: Vec<u32>,
    pub has_model: bool,
    pub recent_holders: Option<Vec<HolderWait>>,
}

/// What an instance does at a tick.
pub enum Step {
    AskReport,
    Order(Order),
    HandOver(Handover),
}

struct Owned {
    lease: OrderLease,
    loads: BTreeMap<u32, LoadInProgress>,
    last_ordered: BTreeMap<u32, u64>,
    has_model: bool,
    model_ordered_at: Option<u64>,
    has_pending_call: bool,
    next_report: u64,
    taken_over_at: u64,
    started_ms: u64,
}

impl Owned {
    fn new(now: u64) -> Self {
        Self {
            lease: OrderLease::new(ms(LEASE_MS)),
            loads: BTreeMap::new(),
            last_ordered: BTreeMap::new(),
            has_model: false,
            model_ordered_at: None,
            has_pending_call: false,
            next_report: now,
            taken_over_at: now,
            started_ms: 0,
        }
    }

    fn next_order(&self, now: u64, demand: Option<u32>, max_loads: usize) -> Option<u32> {
        if !self.has_model {
            let is_ordered =
                self.model_ordered_at.is_some_and(|at| now - at < MODEL_LOAD_TIMEOUT_MS);
            return (!is_ordered).then_some(MODEL);
        }
        let poll = self.loads.iter().find(|(_, load)| load.should_poll(at(now)));
        let demand =
            demand.filter(|key| self.loads.len() < max_loads && !self.loads.contains_key(key));
        poll.map(|(key, _)| *key).or(demand)
    }

    fn on_report(&mut self, now: u64, report: &Report) {
        if report.is_busy {
            self.model_ordered_at = Some(now);
        }
        if report.has_model {
            self.has_model = true;
            self.model_ordered_at = None;
        }
        self.last_ordered.retain(|_, ordered| now - *ordered < ORDER_MEMORY_MS);
        for key in &report.loading {
            if !self.last_ordered.contains_key(key) {
                let load = LoadInProgress::new(at(now), None, false);
                self.loads.entry(*key).or_insert(load);
            }
        }
        let last_ordered = &self.last_ordered;
        self.loads.retain(|key, load| {
            (report.loading.contains(key) || last_ordered.contains_key(key))
                && !load.is_overdue(at(now))
        });
    }
}

/// One process of an instance.
pub struct Instance {
    id: usize,
    /// Whether it runs the version before, which knows only its own orders.
    pub is_old: bool,
    pub is_draining: bool,
    /// Which instances it takes for candidates, in the order in which they are preferred.
    pub candidates: [bool; INSTANCES],
    last_tick: u64,
    history: HolderHistory,
    owned: Option<Owned>,
}

impl Instance {
    pub fn new(now: u64, id: usize, is_old: bool, candidates: [bool; INSTANCES]) -> Self {
        Self {
            id,
            is_old,
            is_draining: false,
            candidates,
            last_tick: now,
            history: HolderHistory::new(at(now), ms(WAIT_MS)),
            owned: None,
        }
    }

    pub fn tick(&mut self, now: u64, demand: Option<u32>, max_loads: usize) -> Option<Step> {
        if now - self.last_tick > MAX_PROCESS_PAUSE_MS
            && let Some(owned) = &mut self.owned
        {
            owned.lease.on_uncertain();
        }
        self.last_tick = now;
        let preferred = self.candidates.iter().position(|candidate| *candidate);
        if preferred == Some(self.id) && !self.is_draining {
            self.advance(now, demand, max_loads)
        } else {
            self.give_up(now, preferred)
        }
    }

    fn advance(&mut self, now: u64, demand: Option<u32>, max_loads: usize) -> Option<Step> {
        let owned = self.owned.get_or_insert_with(|| Owned::new(now));
        if owned.has_pending_call {
            return None;
        }
        let step = owned.lease.step(at(now), true);
        let order =
            if step == LeaseStep::Hold { owned.next_order(now, demand, max_loads) } else { None };
        if let Some(key) = order {
            owned.has_pending_call = true;
            let (fence, expected) = owned.lease.fence_and_count(at(now))?;
            self.history.on_order(at(now), &name("r"), &instance(self.id));
            return Some(Step::Order(Order { holder: self.id, fence, expected, key }));
        }
        let awaits_model = step == LeaseStep::Hold && owned.model_ordered_at.is_some();
        let asks = (step == LeaseStep::AskReport || awaits_model) && now >= owned.next_report;
        owned.has_pending_call = asks;
        asks.then_some(Step::AskReport)
    }

    fn give_up(&mut self, now: u64, successor: Option<usize>) -> Option<Step> {
        let owned = self.owned.as_mut()?;
        let giving_up = GivingUp {
            lease: ms(LEASE_MS),
            owned_for: ms(now - owned.taken_over_at),
            is_held: owned.lease.is_held(),
            has_successor: successor.is_some(),
            has_pending_call: owned.has_pending_call,
            is_draining: self.is_draining,
        };
        if giving_up.is_put_off() {
            return None;
        }
        let held = owned.lease.release();
        let loading = owned.loads.keys().copied().collect();
        let has_model = owned.has_model;
        self.owned = None;
        let (started_ms, count, _) = held?;
        let recent_holders = (!self.is_old).then(|| self.history.waits(at(now), &name("r")));
        let to = successor?;
        let handover = Handover { to, started_ms, count, loading, has_model, recent_holders };
        Some(Step::HandOver(handover))
    }

    /// Forgets the replica, as another one comes in its place.
    pub fn forget_replica(&mut self) {
        self.owned = None;
    }

    /// Takes the replica over; returns whether it was accepted.
    pub fn on_handover(&mut self, now: u64, handover: &Handover, fence: u64) -> bool {
        if self.is_draining {
            return false;
        }
        let owned = self.owned.get_or_insert_with(|| Owned::new(now));
        owned.taken_over_at = now;
        owned.started_ms = handover.started_ms;
        let waits = handover.recent_holders.as_deref().filter(|_| !self.is_old);
        let (replica, me) = (name("r"), instance(self.id));
        let wait = self.history.wait_after_handover(at(now), &replica, &me, waits);
        owned.lease.on_handover(at(now), handover.started_ms, handover.count, fence, wait);
        owned.has_model = handover.has_model;
        for key in &handover.loading {
            owned.last_ordered.insert(*key, now);
            owned.loads.insert(*key, LoadInProgress::new(at(now), None, false));
        }
        true
    }

    pub fn on_report(&mut self, now: u64, report: Option<&Report>, fence: u64) {
        let Some(owned) = &mut self.owned else { return };
        owned.has_pending_call = false;
        let Some(report) = report else {
            owned.next_report = now + FAILED_REPORT_DELAY_MS;
            return;
        };
        owned.next_report = now + PENDING_REPORT_INTERVAL_MS;
        if owned.started_ms != report.started_ms {
            owned.loads.clear();
            owned.last_ordered.clear();
            owned.has_model = false;
            owned.model_ordered_at = None;
            owned.started_ms = report.started_ms;
        }
        let activity = match (report.is_busy, report.loading.is_empty()) {
            (true, _) => LoadActivity::Model,
            (false, false) => LoadActivity::Adapters,
            (false, true) => LoadActivity::Idle,
        };
        owned.lease.set_rank(if report.has_model { 0 } else { self.id });
        owned.lease.on_report(at(now), report.started_ms, report.count, activity, fence);
        owned.on_report(now, report);
    }

    /// Applies the answer to an order; `None` if none came in time.
    pub fn on_answer(&mut self, now: u64, key: u32, answer: Option<Answer>) {
        self.history.on_order(at(now), &name("r"), &instance(self.id));
        let Some(owned) = &mut self.owned else { return };
        owned.has_pending_call = false;
        owned.next_report = now;
        match answer {
            None => owned.lease.on_uncertain(),
            Some(Answer::Conflict) => {
                owned.lease.on_conflict();
                owned.next_report = now + PENDING_REPORT_INTERVAL_MS;
            }
            Some(Answer::HoldsAlready) => {
                owned.lease.on_confirmed(at(now));
                owned.loads.remove(&key);
                if key == MODEL {
                    owned.model_ordered_at = Some(now);
                }
            }
            Some(Answer::Accepted | Answer::Repeated) if key == MODEL => {
                owned.model_ordered_at = Some(now);
                owned.lease.on_accepted(at(now));
            }
            Some(Answer::Accepted | Answer::Repeated) => {
                owned.last_ordered.insert(key, now);
                if let Some(load) = owned.loads.get_mut(&key) {
                    owned.lease.on_confirmed(at(now));
                    load.on_polled(at(now));
                } else {
                    owned.lease.on_accepted(at(now));
                    owned.loads.insert(key, LoadInProgress::new(at(now), None, false));
                }
            }
        }
    }
}

fn instance(id: usize) -> InstanceName {
    InstanceName::new(&format!("i{id}"))
}

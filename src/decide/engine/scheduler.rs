//! The state machine of one owned engine.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::EngineAction;
use super::EngineInput;
use super::EngineSummary;
use super::LoadPermits;
use super::PermitMode;
use super::Pinned;
use super::QueuedRequest;
use super::SafetyConstraints;
use super::SafetyInput;
use super::SlotState;
use crate::decide::admission;
use crate::decide::demand::DemandCounters;
use crate::decide::permits::Urgency;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::names::AdapterRef;
use crate::names::RequestId;
use crate::names::Timestamp;

/// Time to come back after a failed load.
const LOAD_RETRY: Duration = Duration::from_secs(2);
/// Time without orders after a failed unload; the engine may be down.
const ORDER_PAUSE: Duration = Duration::from_millis(250);

/// Time of a load at full speed.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Stall weight until a preset sets one.
const DEFAULT_STALL_WEIGHT: u8 = 50;
/// Time in which the measured demand for an adapter halves.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(30);
/// Adapters whose demand is tracked, for each slot.
const TRACKED_PER_SLOT: usize = 16;

/// Queue, slots and running requests of one engine.
#[derive(Clone, Debug)]
pub struct EngineScheduler {
    slot_count: usize,
    batch: usize,
    slots: BTreeMap<AdapterRef, SlotState>,
    waiting: Vec<QueuedRequest>,
    running: BTreeMap<RequestId, AdapterRef>,
    guard: SafetyConstraints,
    orders_after: Timestamp,
    demand: DemandCounters,
    permits: LoadPermits,
    stall_weight: u8,
    pinned: Pinned,
}

impl EngineScheduler {
    /// An engine with `slot_count` free slots that runs `batch` requests at once.
    ///
    /// Its loads need no permit.
    pub fn new(slot_count: usize, batch: usize) -> Self {
        Self::with_permits(slot_count, batch, PermitMode::NotRequired)
    }

    /// An engine whose loads need permits as `mode` says.
    pub fn with_permits(slot_count: usize, batch: usize, mode: PermitMode) -> Self {
        Self {
            slot_count,
            batch,
            slots: BTreeMap::new(),
            waiting: Vec::new(),
            running: BTreeMap::new(),
            guard: SafetyConstraints::default(),
            orders_after: Timestamp::ZERO,
            demand: DemandCounters::new(DEMAND_HALF_LIFE, TRACKED_PER_SLOT * slot_count),
            permits: LoadPermits::new(mode),
            stall_weight: DEFAULT_STALL_WEIGHT,
            pinned: Pinned::default(),
        }
    }

    /// How many adapters the engine holds at once.
    pub fn slot_count(&self) -> usize {
        self.slot_count
    }

    /// How many requests the engine runs at once.
    pub fn batch(&self) -> usize {
        self.batch
    }

    /// Adapters in slots and their state.
    pub fn slots(&self) -> &BTreeMap<AdapterRef, SlotState> {
        &self.slots
    }

    /// Requests that wait.
    pub fn waiting(&self) -> &[QueuedRequest] {
        &self.waiting
    }

    /// Requests that run, with the adapter of each.
    pub fn running(&self) -> &BTreeMap<RequestId, AdapterRef> {
        &self.running
    }

    /// Slots and queue in brief, for the instances that route to this engine.
    pub fn summary(&self, now: Timestamp) -> EngineSummary {
        let in_state = |wanted: fn(&SlotState) -> bool| {
            self.slots.iter().filter(move |(_, slot)| wanted(slot)).map(|(adapter, _)| adapter)
        };
        let ready = in_state(|slot| matches!(slot, SlotState::Ready { .. })).cloned().collect();
        let loading = in_state(|slot| *slot == SlotState::Loading);
        let taken = self.slots.len() + self.permits.outstanding();
        EngineSummary {
            ready,
            coming: loading.chain(self.permits.adapters()).cloned().collect(),
            free_slots: self.slot_count.saturating_sub(taken),
            victim_demand: self.victim(now).map(|victim| self.demand.count(now, &victim)),
            depth: self.waiting.len() + self.running.len(),
            batch: self.batch,
            load_wait: self.permits.wait(),
        }
    }

    /// Takes one event and returns what must be done.
    pub fn on_input(&mut self, now: Timestamp, input: EngineInput) -> Vec<EngineAction> {
        let mut actions = Vec::new();
        match input {
            EngineInput::Arrived(waiting) => self.on_arrived(now, waiting, &mut actions),
            EngineInput::Withdrawn(id) => self.waiting.retain(|w| w.request_id != id),
            EngineInput::Ended(id) => self.on_ended(now, id),
            EngineInput::LoadEnded { adapter, loaded: true } => {
                self.permits.give_back(adapter.clone(), &mut actions);
                self.slots.insert(adapter, SlotState::Ready { last_used: now });
            }
            EngineInput::LoadEnded { adapter, loaded: false } => {
                self.permits.give_back(adapter.clone(), &mut actions);
                self.slots.remove(&adapter);
                self.pinned.on_failed(now, &adapter);
                self.refuse_waiting_for(&adapter, &mut actions);
            }
            EngineInput::UnloadEnded { adapter, unloaded: true } => {
                self.slots.remove(&adapter);
            }
            EngineInput::UnloadEnded { adapter, unloaded: false } => {
                self.orders_after = now + ORDER_PAUSE;
                self.slots.insert(adapter, SlotState::Ready { last_used: now });
            }
            EngineInput::PermitGranted(adapter) => {
                self.permits.on_granted(adapter, &mut actions);
            }
            EngineInput::LoadWait(wait) => self.permits.set_wait(wait),
            EngineInput::StallWeight(weight) => self.stall_weight = weight,
            EngineInput::Pinned(adapters) => self.pinned.set(adapters, self.slot_count),
            EngineInput::Restarted => self.on_restarted(&mut actions),
            EngineInput::Safety(input) => self.on_guard(now, input),
            EngineInput::Unreachable => self.refuse_all_waiting(&mut actions),
            EngineInput::Tick => self.forget_lone(),
        }
        self.refuse_late(now, &mut actions);
        self.dispatch_ready(now, &mut actions);
        self.request_loads(now, &mut actions);
        actions
    }

    /// Adapters held by what ownership knows of them.
    pub fn held(&self) -> impl Iterator<Item = &AdapterRef> {
        self.guard.held.iter()
    }

    fn on_guard(&mut self, now: Timestamp, input: SafetyInput) {
        match input {
            SafetyInput::Pause => self.guard.paused = true,
            SafetyInput::Resume => self.guard.paused = false,
            SafetyInput::Found(loaded) => {
                let ready = |adapter| (adapter, SlotState::Ready { last_used: now });
                self.slots = loaded.into_iter().map(ready).collect();
            }
            SafetyInput::Hold(adapter) => {
                self.guard.held.insert(adapter);
            }
            SafetyInput::Release(adapter) => {
                self.guard.held.remove(&adapter);
            }
            SafetyInput::NotLoaded(adapter) => {
                if matches!(self.slots.get(&adapter), Some(SlotState::Ready { .. })) {
                    self.slots.remove(&adapter);
                }
            }
            SafetyInput::Alone(id) => {
                self.guard.alone.insert(id);
            }
        }
    }

    /// Forgets lone requests that went away without being dispatched.
    fn forget_lone(&mut self) {
        let waiting = &self.waiting;
        let running = &self.running;
        self.guard.alone.retain(|id| {
            running.contains_key(id) || waiting.iter().any(|waiting| &waiting.request_id == id)
        });
    }

    fn on_arrived(
        &mut self,
        now: Timestamp,
        waiting: QueuedRequest,
        actions: &mut Vec<EngineAction>,
    ) {
        self.demand.record(now, &waiting.adapter);
        let has_slot = self.slots.contains_key(&waiting.adapter);
        let wait = self.permits.wait() + LOAD_TIME;
        let patience = admission::max_load_wait(waiting.deadline.since(now), self.stall_weight);
        if has_slot || wait <= patience {
            return self.waiting.push(waiting);
        }
        let detail = format!("adapter {} would take {wait:?} to load", waiting.adapter);
        let error = Error::new(ErrorKind::Overloaded, detail).retry_after(wait);
        actions.push(EngineAction::Refuse { request_id: waiting.request_id, error });
    }

    fn on_restarted(&mut self, actions: &mut Vec<EngineAction>) {
        for (adapter, slot) in std::mem::take(&mut self.slots) {
            if slot == SlotState::Loading {
                self.permits.give_back(adapter, actions);
            }
        }
    }

    fn on_ended(&mut self, now: Timestamp, id: RequestId) {
        self.guard.alone.remove(&id);
        let Some(adapter) = self.running.remove(&id) else { return };
        if let Some(SlotState::Ready { last_used }) = self.slots.get_mut(&adapter) {
            *last_used = now;
        }
    }

    fn refuse_waiting_for(&mut self, adapter: &AdapterRef, actions: &mut Vec<EngineAction>) {
        self.waiting.retain(|waiting| {
            if &waiting.adapter != adapter {
                return true;
            }
            let detail = format!("adapter {adapter} could not be loaded");
            let error = Error::new(ErrorKind::LoadFailed, detail).retry_after(LOAD_RETRY);
            actions.push(EngineAction::Refuse { request_id: waiting.request_id, error });
            false
        });
    }

    fn refuse_all_waiting(&mut self, actions: &mut Vec<EngineAction>) {
        actions.extend(self.waiting.drain(..).map(|waiting| {
            let error = Error::new(ErrorKind::NoBackend, "the engine does not answer");
            EngineAction::Refuse { request_id: waiting.request_id, error }
        }));
    }

    fn refuse_late(&mut self, now: Timestamp, actions: &mut Vec<EngineAction>) {
        self.waiting.retain(|waiting| {
            if now < waiting.deadline {
                return true;
            }
            let error = Error::new(ErrorKind::DeadlineTooShort, "deadline passed in the queue");
            actions.push(EngineAction::Refuse { request_id: waiting.request_id, error });
            false
        });
    }

    fn dispatch_ready(&mut self, now: Timestamp, actions: &mut Vec<EngineAction>) {
        if self.guard.paused {
            return;
        }
        self.waiting.sort_by_key(|w| (Reverse(w.priority), w.arrived));
        let mut rest = Vec::with_capacity(self.waiting.len());
        let mut draining = false;
        for waiting in self.waiting.drain(..) {
            let admitted = self.guard.admits(&waiting.request_id, &self.running);
            let slot = self.slots.get_mut(&waiting.adapter);
            let ready = matches!(slot, Some(SlotState::Ready { .. }));
            draining |= ready && !admitted;
            match slot {
                Some(SlotState::Ready { last_used })
                    if self.running.len() < self.batch && !draining =>
                {
                    *last_used = now;
                    self.running.insert(waiting.request_id, waiting.adapter);
                    actions.push(EngineAction::Dispatch(waiting.request_id));
                }
                _ => rest.push(waiting),
            }
        }
        self.waiting = rest;
    }

    fn request_loads(&mut self, now: Timestamp, actions: &mut Vec<EngineAction>) {
        if self.guard.paused || now < self.orders_after {
            return;
        }
        let wanted = self.wanted_loads(now);
        self.permits.keep_only(&wanted, actions);
        self.apply_for_permits(now, &wanted, actions);
        self.use_permits(now, actions);
    }

    /// Adapters that requests wait for, or that are pinned, and that aren't in a slot.
    fn wanted_loads(&self, now: Timestamp) -> BTreeMap<AdapterRef, Urgency> {
        let mut wanted: BTreeMap<AdapterRef, Urgency> = BTreeMap::new();
        for waiting in &self.waiting {
            if self.slots.contains_key(&waiting.adapter) {
                continue;
            }
            let urgency = wanted.entry(waiting.adapter.clone()).or_default();
            urgency.demanded = true;
            urgency.priority = urgency.priority.max(waiting.priority);
            urgency.waiting += 1;
        }
        for adapter in self.pinned.due(now) {
            if !self.slots.contains_key(adapter) {
                wanted.entry(adapter.clone()).or_default();
            }
        }
        wanted
    }

    /// Applies for as many loads as slots can be had for, in the order of the queue.
    fn apply_for_permits(
        &mut self,
        now: Timestamp,
        wanted: &BTreeMap<AdapterRef, Urgency>,
        actions: &mut Vec<EngineAction>,
    ) {
        let idle = self.slots.iter().filter(|(adapter, slot)| match slot {
            SlotState::Ready { .. } => !self.in_use(adapter),
            SlotState::Unloading => true,
            SlotState::Loading => false,
        });
        let available = idle.count() + self.slot_count.saturating_sub(self.slots.len());
        let demanded = self.waiting.iter().map(|waiting| &waiting.adapter);
        for adapter in demanded.chain(self.pinned.due(now)) {
            let Some(urgency) = wanted.get(adapter) else { continue };
            if self.permits.concerns(adapter) || self.permits.outstanding() < available {
                self.permits.apply(now, adapter, *urgency, actions);
            }
        }
    }

    /// Begins permitted loads in free slots and makes room for the others.
    fn use_permits(&mut self, now: Timestamp, actions: &mut Vec<EngineAction>) {
        let granted: Vec<AdapterRef> = self.permits.granted().cloned().collect();
        let mut unloading =
            self.slots.values().filter(|slot| **slot == SlotState::Unloading).count();
        for adapter in granted {
            if self.slots.len() < self.slot_count {
                self.permits.use_up(&adapter);
                self.slots.insert(adapter.clone(), SlotState::Loading);
                actions.push(EngineAction::Load(adapter));
                continue;
            }
            if unloading > 0 {
                unloading -= 1;
                continue;
            }
            let Some(victim) = self.victim(now) else {
                self.permits.use_up(&adapter);
                self.permits.give_back(adapter, actions);
                continue;
            };
            self.slots.insert(victim.clone(), SlotState::Unloading);
            actions.push(EngineAction::Unload(victim));
        }
    }

    /// The adapter with the least demand that no request runs on or waits for; pinned ones last.
    fn victim(&self, now: Timestamp) -> Option<AdapterRef> {
        self.slots
            .iter()
            .filter_map(|(adapter, slot)| match slot {
                SlotState::Ready { last_used } if !self.in_use(adapter) => {
                    let pinned = self.pinned.contains(adapter);
                    Some((pinned, self.demand.count(now, adapter), last_used, adapter))
                }
                _ => None,
            })
            .min_by(|a, b| {
                let demand = a.0.cmp(&b.0).then_with(|| a.1.total_cmp(&b.1));
                demand.then_with(|| (a.2, a.3).cmp(&(b.2, b.3)))
            })
            .map(|(_, _, _, adapter)| adapter.clone())
    }

    fn in_use(&self, adapter: &AdapterRef) -> bool {
        self.guard.held.contains(adapter)
            || self.running.values().any(|running| running == adapter)
            || self.waiting.iter().any(|waiting| &waiting.adapter == adapter)
    }
}

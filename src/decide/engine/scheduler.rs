//! Queue, adapter slots and eviction of one owned engine.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::EngineAction;
use super::EngineInput;
use super::EngineSummary;
use super::LoadPermits;
use super::PermitMode;
use super::PinnedAdapters;
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

/// When a request may be sent again after its adapter could not be loaded.
const LOAD_FAILED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Pause in load and unload orders after a failed unload; the engine may be down.
const UNLOAD_FAILED_PAUSE: Duration = Duration::from_millis(250);

/// Duration of one load at the weight store's full speed.
const FULL_SPEED_LOAD_TIME: Duration = Duration::from_millis(250);
/// Weight of load stalls, 0 to 100, until a preset sets one.
const DEFAULT_STALL_WEIGHT: u8 = 50;
/// Half-life of the decayed request count of each adapter.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(30);
/// Adapters whose demand is measured, for each slot of the engine.
const TRACKED_ADAPTERS_PER_SLOT: usize = 16;

/// Scheduler of one engine: its queue, its adapter slots and its running requests.
#[derive(Clone, Debug)]
pub struct EngineScheduler {
    slot_count: usize,
    batch: usize,
    slots: BTreeMap<AdapterRef, SlotState>,
    waiting: Vec<QueuedRequest>,
    running: BTreeMap<RequestId, AdapterRef>,
    safety: SafetyConstraints,
    orders_paused_until: Timestamp,
    demand: DemandCounters,
    permits: LoadPermits,
    stall_weight: u8,
    pinned: PinnedAdapters,
}

impl EngineScheduler {
    /// An engine with `slot_count` free slots that runs `batch` requests at once.
    ///
    /// Its loads require no permit.
    pub fn new(slot_count: usize, batch: usize) -> Self {
        Self::with_permits(slot_count, batch, PermitMode::NotRequired)
    }

    /// As [`Self::new`], with loads that require permits as `mode` says.
    pub fn with_permits(slot_count: usize, batch: usize, mode: PermitMode) -> Self {
        Self {
            slot_count,
            batch,
            slots: BTreeMap::new(),
            waiting: Vec::new(),
            running: BTreeMap::new(),
            safety: SafetyConstraints::default(),
            orders_paused_until: Timestamp::ZERO,
            demand: DemandCounters::new(DEMAND_HALF_LIFE, TRACKED_ADAPTERS_PER_SLOT * slot_count),
            permits: LoadPermits::new(mode),
            stall_weight: DEFAULT_STALL_WEIGHT,
            pinned: PinnedAdapters::default(),
        }
    }

    /// How many adapters can be loaded at once.
    pub fn slot_count(&self) -> usize {
        self.slot_count
    }

    /// How many requests the engine runs at once.
    pub fn batch(&self) -> usize {
        self.batch
    }

    /// Adapters that occupy a slot, and the state of each slot.
    pub fn slots(&self) -> &BTreeMap<AdapterRef, SlotState> {
        &self.slots
    }

    /// Queued requests that haven't been dispatched.
    pub fn waiting(&self) -> &[QueuedRequest] {
        &self.waiting
    }

    /// Dispatched requests that haven't ended, with the adapter of each.
    pub fn running(&self) -> &BTreeMap<RequestId, AdapterRef> {
        &self.running
    }

    /// Summary of slots and queue, for the instances that route to this engine.
    pub fn summary(&self, now: Timestamp) -> EngineSummary {
        let in_state = |wanted: fn(&SlotState) -> bool| {
            self.slots.iter().filter(move |(_, slot)| wanted(slot)).map(|(adapter, _)| adapter)
        };
        let ready = in_state(|slot| matches!(slot, SlotState::Ready { .. })).cloned().collect();
        let loading = in_state(|slot| *slot == SlotState::Loading);
        let taken = self.slots.len() + self.permits.outstanding();
        EngineSummary {
            ready,
            pending_loads: loading.chain(self.permits.adapters()).cloned().collect(),
            free_slots: self.slot_count.saturating_sub(taken),
            victim_demand: self.eviction_victim(now).map(|victim| self.demand.count(now, &victim)),
            depth: self.waiting.len() + self.running.len(),
            batch: self.batch,
            load_wait: self.permits.wait(),
        }
    }

    /// Handles one event and returns the actions that follow from it.
    pub fn on_input(&mut self, now: Timestamp, input: EngineInput) -> Vec<EngineAction> {
        let mut actions = Vec::new();
        match input {
            EngineInput::Arrived(waiting) => self.on_arrived(now, waiting, &mut actions),
            EngineInput::Withdrawn(id) => self.waiting.retain(|w| w.request_id != id),
            EngineInput::Ended(id) => self.on_ended(now, id),
            EngineInput::LoadEnded { adapter, loaded: true } => {
                self.permits.return_permit(adapter.clone(), &mut actions);
                self.slots.insert(adapter, SlotState::Ready { last_used: now });
            }
            EngineInput::LoadEnded { adapter, loaded: false } => {
                self.permits.return_permit(adapter.clone(), &mut actions);
                self.slots.remove(&adapter);
                self.pinned.on_load_failed(now, &adapter);
                self.refuse_waiting_for(&adapter, &mut actions);
            }
            EngineInput::UnloadEnded { adapter, unloaded: true } => {
                self.slots.remove(&adapter);
            }
            EngineInput::UnloadEnded { adapter, unloaded: false } => {
                self.orders_paused_until = now + UNLOAD_FAILED_PAUSE;
                self.slots.insert(adapter, SlotState::Ready { last_used: now });
            }
            EngineInput::PermitGranted(adapter) => {
                self.permits.on_granted(adapter, &mut actions);
            }
            EngineInput::LoadWait(wait) => self.permits.set_wait(wait),
            EngineInput::StallWeight(weight) => self.stall_weight = weight,
            EngineInput::Pinned(adapters) => self.pinned.replace(adapters, self.slot_count),
            EngineInput::Restarted => self.on_restarted(&mut actions),
            EngineInput::Safety(input) => self.on_safety_input(now, input),
            EngineInput::Unreachable => self.refuse_all_waiting(&mut actions),
            EngineInput::Tick => self.prune_alone(),
        }
        self.refuse_expired(now, &mut actions);
        self.dispatch_ready(now, &mut actions);
        self.request_loads(now, &mut actions);
        actions
    }

    /// Adapters that count as in use although no request known here may run on them.
    pub fn held_adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.safety.held.iter()
    }

    fn on_safety_input(&mut self, now: Timestamp, input: SafetyInput) {
        match input {
            SafetyInput::Pause => self.safety.paused = true,
            SafetyInput::Resume => self.safety.paused = false,
            SafetyInput::Found(loaded) => {
                let ready = |adapter| (adapter, SlotState::Ready { last_used: now });
                self.slots = loaded.into_iter().map(ready).collect();
            }
            SafetyInput::Hold(adapter) => {
                self.safety.held.insert(adapter);
            }
            SafetyInput::Release(adapter) => {
                self.safety.held.remove(&adapter);
            }
            SafetyInput::NotLoaded(adapter) => {
                if matches!(self.slots.get(&adapter), Some(SlotState::Ready { .. })) {
                    self.slots.remove(&adapter);
                }
            }
            SafetyInput::Alone(id) => {
                self.safety.alone.insert(id);
            }
        }
    }

    /// Forgets the run-alone mark of requests that left without being dispatched.
    fn prune_alone(&mut self) {
        let waiting = &self.waiting;
        let running = &self.running;
        self.safety.alone.retain(|id| {
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
        let wait = self.permits.wait() + FULL_SPEED_LOAD_TIME;
        let max_wait = admission::max_load_wait(waiting.deadline.since(now), self.stall_weight);
        if has_slot || wait <= max_wait {
            return self.waiting.push(waiting);
        }
        let detail = format!("adapter {} would take {wait:?} to load", waiting.adapter);
        let error = Error::new(ErrorKind::Overloaded, detail).retry_after(wait);
        actions.push(EngineAction::Refuse { request_id: waiting.request_id, error });
    }

    fn on_restarted(&mut self, actions: &mut Vec<EngineAction>) {
        for (adapter, slot) in std::mem::take(&mut self.slots) {
            if slot == SlotState::Loading {
                self.permits.return_permit(adapter, actions);
            }
        }
    }

    fn on_ended(&mut self, now: Timestamp, id: RequestId) {
        self.safety.alone.remove(&id);
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
            let error =
                Error::new(ErrorKind::LoadFailed, detail).retry_after(LOAD_FAILED_RETRY_AFTER);
            actions.push(EngineAction::Refuse { request_id: waiting.request_id, error });
            false
        });
    }

    fn refuse_all_waiting(&mut self, actions: &mut Vec<EngineAction>) {
        actions.extend(self.waiting.drain(..).map(|waiting| {
            let error = Error::new(
                ErrorKind::NoBackend,
                "the engine does not answer; the request was not dispatched",
            );
            EngineAction::Refuse { request_id: waiting.request_id, error }
        }));
    }

    fn refuse_expired(&mut self, now: Timestamp, actions: &mut Vec<EngineAction>) {
        self.waiting.retain(|waiting| {
            if now < waiting.deadline {
                return true;
            }
            let error = Error::new(
                ErrorKind::DeadlineTooShort,
                "the deadline passed before the request was dispatched",
            );
            actions.push(EngineAction::Refuse { request_id: waiting.request_id, error });
            false
        });
    }

    /// Dispatches to loaded adapters by priority, then by arrival, until the batch is full.
    ///
    /// A request that can't join the running ones, because one of them must run alone or it must
    /// itself, blocks those behind it, so that the engine drains.
    fn dispatch_ready(&mut self, now: Timestamp, actions: &mut Vec<EngineAction>) {
        if self.safety.paused {
            return;
        }
        self.waiting.sort_by_key(|w| (Reverse(w.priority), w.arrived));
        let mut still_waiting = Vec::with_capacity(self.waiting.len());
        let mut blocked = false;
        for waiting in self.waiting.drain(..) {
            let admitted = self.safety.admits(&waiting.request_id, &self.running);
            let slot = self.slots.get_mut(&waiting.adapter);
            let ready = matches!(slot, Some(SlotState::Ready { .. }));
            blocked |= ready && !admitted;
            match slot {
                Some(SlotState::Ready { last_used })
                    if self.running.len() < self.batch && !blocked =>
                {
                    *last_used = now;
                    self.running.insert(waiting.request_id, waiting.adapter);
                    actions.push(EngineAction::Dispatch(waiting.request_id));
                }
                _ => still_waiting.push(waiting),
            }
        }
        self.waiting = still_waiting;
    }

    fn request_loads(&mut self, now: Timestamp, actions: &mut Vec<EngineAction>) {
        if self.safety.paused || now < self.orders_paused_until {
            return;
        }
        let wanted = self.wanted_loads(now);
        self.permits.retain_wanted(&wanted, actions);
        self.request_permits(now, &wanted, actions);
        self.use_permits(now, actions);
    }

    /// Adapters without a slot that queued requests wait for or that are pinned.
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

    /// Requests permits for as many loads as there are free or idle slots, in queue order.
    ///
    /// Adapters that are only pinned come last.
    fn request_permits(
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
            if self.permits.covers(adapter) || self.permits.outstanding() < available {
                self.permits.request(now, adapter, *urgency, actions);
            }
        }
    }

    /// Starts permitted loads in free slots and evicts an idle adapter for each of the others.
    ///
    /// A permit is returned if no adapter can be evicted for it.
    fn use_permits(&mut self, now: Timestamp, actions: &mut Vec<EngineAction>) {
        let granted: Vec<AdapterRef> = self.permits.granted().cloned().collect();
        let mut unloading =
            self.slots.values().filter(|slot| **slot == SlotState::Unloading).count();
        for adapter in granted {
            if self.slots.len() < self.slot_count {
                self.permits.consume(&adapter);
                self.slots.insert(adapter.clone(), SlotState::Loading);
                actions.push(EngineAction::Load(adapter));
                continue;
            }
            if unloading > 0 {
                unloading -= 1;
                continue;
            }
            let Some(victim) = self.eviction_victim(now) else {
                self.permits.consume(&adapter);
                self.permits.return_permit(adapter, actions);
                continue;
            };
            self.slots.insert(victim.clone(), SlotState::Unloading);
            actions.push(EngineAction::Unload(victim));
        }
    }

    /// The adapter to evict next, among those that no request runs on or waits for.
    ///
    /// Adapters that aren't pinned go first, then the least demanded, then the least recently used.
    fn eviction_victim(&self, now: Timestamp) -> Option<AdapterRef> {
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
        self.safety.held.contains(adapter)
            || self.running.values().any(|running| running == adapter)
            || self.waiting.iter().any(|waiting| &waiting.adapter == adapter)
    }
}

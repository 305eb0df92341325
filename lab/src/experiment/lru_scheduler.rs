//! Baseline engine scheduler: priority, then arrival order, with LRU eviction.
//!
//! It loads adapters in the order of the queue without permits, and ignores
//! pinning, the stall weight and the expected wait for loads. A request whose
//! deadline passes in the queue is refused, and so is each one waiting for an
//! adapter whose load failed.

use std::collections::BTreeMap;
use std::time::Duration;

use tamaracklead::decide::engine::EngineAction;
use tamaracklead::decide::engine::EngineInput;
use tamaracklead::decide::engine::QueuedRequest;
use tamaracklead::decide::engine::SlotState;
use tamaracklead::error::Error;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;

/// `Retry-After` of a refusal after a failed load.
const LOAD_RETRY_AFTER: Duration = Duration::from_secs(2);

/// LRU scheduler of one engine: its queue, slots and running requests.
#[derive(Clone, Debug)]
pub struct LruScheduler {
    slot_count: usize,
    batch: usize,
    slots: BTreeMap<AdapterRef, SlotState>,
    waiting: Vec<QueuedRequest>,
    running: BTreeMap<RequestId, AdapterRef>,
}

impl LruScheduler {
    /// A scheduler with `slot_count` free slots that runs at most `batch` requests at once.
    pub fn new(slot_count: usize, batch: usize) -> Self {
        Self {
            slot_count,
            batch,
            slots: BTreeMap::new(),
            waiting: Vec::new(),
            running: BTreeMap::new(),
        }
    }

    /// State of each occupied slot, by adapter.
    pub fn slots(&self) -> &BTreeMap<AdapterRef, SlotState> {
        &self.slots
    }

    /// Queued requests.
    pub fn waiting(&self) -> &[QueuedRequest] {
        &self.waiting
    }

    /// Running requests with their adapters.
    pub fn running(&self) -> &BTreeMap<RequestId, AdapterRef> {
        &self.running
    }

    /// Applies one input and returns the actions to carry out.
    pub fn on_input(&mut self, now: Timestamp, input: EngineInput) -> Vec<EngineAction> {
        let mut actions = Vec::new();
        match input {
            EngineInput::Arrived(waiting) => self.waiting.push(waiting),
            EngineInput::Withdrawn(id) => self.waiting.retain(|w| w.request_id != id),
            EngineInput::Ended(id) => self.on_ended(now, id),
            EngineInput::LoadEnded { adapter, loaded: true } => {
                self.slots.insert(adapter, SlotState::Ready { last_used: now });
            }
            EngineInput::LoadEnded { adapter, loaded: false } => {
                self.slots.remove(&adapter);
                self.refuse_waiting_for(&adapter, &mut actions);
            }
            EngineInput::UnloadEnded { adapter, unloaded: true } => {
                self.slots.remove(&adapter);
            }
            EngineInput::UnloadEnded { adapter, unloaded: false } => {
                self.slots.insert(adapter, SlotState::Ready { last_used: now });
            }
            EngineInput::Restarted => self.slots.clear(),
            EngineInput::Safety(_)
            | EngineInput::Unreachable
            | EngineInput::PermitGranted(_)
            | EngineInput::LoadWait(_)
            | EngineInput::StallWeight(_)
            | EngineInput::Pinned(_)
            | EngineInput::Tick => {}
        }
        self.refuse_expired(now, &mut actions);
        self.dispatch_ready(now, &mut actions);
        self.request_loads(&mut actions);
        actions
    }

    fn on_ended(&mut self, now: Timestamp, id: RequestId) {
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
            let error = Error::new(ErrorKind::LoadFailed, detail).retry_after(LOAD_RETRY_AFTER);
            actions.push(EngineAction::Refuse { request_id: waiting.request_id, error });
            false
        });
    }

    fn refuse_expired(&mut self, now: Timestamp, actions: &mut Vec<EngineAction>) {
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
        self.waiting.sort_by_key(|w| (std::cmp::Reverse(w.priority), w.arrived));
        let mut rest = Vec::with_capacity(self.waiting.len());
        for waiting in self.waiting.drain(..) {
            let slot = self.slots.get_mut(&waiting.adapter);
            match slot {
                Some(SlotState::Ready { last_used }) if self.running.len() < self.batch => {
                    *last_used = now;
                    self.running.insert(waiting.request_id, waiting.adapter);
                    actions.push(EngineAction::Dispatch(waiting.request_id));
                }
                _ => rest.push(waiting),
            }
        }
        self.waiting = rest;
    }

    fn request_loads(&mut self, actions: &mut Vec<EngineAction>) {
        let wanted: Vec<AdapterRef> = self.waiting.iter().map(|w| w.adapter.clone()).collect();
        let mut unloading =
            self.slots.values().filter(|slot| **slot == SlotState::Unloading).count();
        for adapter in wanted {
            if self.slots.contains_key(&adapter) {
                continue;
            }
            if self.slots.len() < self.slot_count {
                self.slots.insert(adapter.clone(), SlotState::Loading);
                actions.push(EngineAction::Load(adapter));
                continue;
            }
            if unloading > 0 {
                unloading -= 1;
                continue;
            }
            let Some(victim) = self.victim() else { return };
            self.slots.insert(victim.clone(), SlotState::Unloading);
            actions.push(EngineAction::Unload(victim));
        }
    }

    /// The least recently used adapter that no running or queued request needs.
    fn victim(&self) -> Option<AdapterRef> {
        self.slots
            .iter()
            .filter_map(|(adapter, slot)| match slot {
                SlotState::Ready { last_used } if !self.is_in_use(adapter) => {
                    Some((last_used, adapter))
                }
                _ => None,
            })
            .min()
            .map(|(_, adapter)| adapter.clone())
    }

    fn is_in_use(&self, adapter: &AdapterRef) -> bool {
        self.running.values().any(|running| running == adapter)
            || self.waiting.iter().any(|waiting| &waiting.adapter == adapter)
    }
}

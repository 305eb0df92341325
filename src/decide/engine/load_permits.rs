//! Which loads of one engine are applied for and permitted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::EngineAction;
use crate::decide::permits::Urgency;
use crate::names::AdapterRef;
use crate::names::Timestamp;

/// Time after which an unanswered application is repeated; the holder may be another by then.
const REPEAT_AFTER: Duration = Duration::from_secs(3);

/// Whether loads need a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitMode {
    /// Every load is permitted at once.
    NotRequired,
    /// The store's permit holder is asked before each load.
    Required,
}

/// Applications and permits of one engine.
#[derive(Clone, Debug)]
pub struct LoadPermits {
    mode: PermitMode,
    applied: BTreeMap<AdapterRef, Application>,
    granted: BTreeSet<AdapterRef>,
    wait: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Application {
    urgency: Urgency,
    sent: Timestamp,
}

impl LoadPermits {
    /// No applications and no permits.
    pub fn new(mode: PermitMode) -> Self {
        Self { mode, applied: BTreeMap::new(), granted: BTreeSet::new(), wait: Duration::ZERO }
    }

    /// How long a new load would wait for its permit.
    pub fn wait(&self) -> Duration {
        self.wait
    }

    /// Takes the holder's estimate for a new load.
    pub fn set_wait(&mut self, wait: Duration) {
        self.wait = wait;
    }

    /// Applications and unused permits.
    pub fn outstanding(&self) -> usize {
        self.applied.len() + self.granted.len()
    }

    /// Adapters whose load is applied for or permitted.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.applied.keys().chain(&self.granted)
    }

    /// Whether a load of the adapter is applied for or permitted.
    pub fn concerns(&self, adapter: &AdapterRef) -> bool {
        self.applied.contains_key(adapter) || self.granted.contains(adapter)
    }

    /// Permits that weren't used yet.
    pub fn granted(&self) -> impl Iterator<Item = &AdapterRef> {
        self.granted.iter()
    }

    /// Applies for a load, or tells its new urgency.
    pub fn apply(
        &mut self,
        now: Timestamp,
        adapter: &AdapterRef,
        urgency: Urgency,
        actions: &mut Vec<EngineAction>,
    ) {
        if self.mode == PermitMode::NotRequired {
            self.granted.insert(adapter.clone());
            return;
        }
        let known = self.applied.get(adapter);
        let current = known
            .is_some_and(|known| known.urgency == urgency && now.since(known.sent) < REPEAT_AFTER);
        if current || self.granted.contains(adapter) {
            return;
        }
        self.applied.insert(adapter.clone(), Application { urgency, sent: now });
        actions.push(EngineAction::RequestPermit { adapter: adapter.clone(), urgency });
    }

    /// Takes a permit; one that wasn't applied for is returned.
    pub fn on_granted(&mut self, adapter: AdapterRef, actions: &mut Vec<EngineAction>) {
        if self.applied.remove(&adapter).is_some() {
            self.granted.insert(adapter);
        } else if !self.granted.contains(&adapter) {
            self.give_back(adapter, actions);
        }
    }

    /// Uses a permit.
    pub fn use_up(&mut self, adapter: &AdapterRef) {
        self.granted.remove(adapter);
    }

    /// Withdraws every application and permit that `wanted` doesn't name.
    pub fn keep_only(
        &mut self,
        wanted: &BTreeMap<AdapterRef, Urgency>,
        actions: &mut Vec<EngineAction>,
    ) {
        let known: Vec<AdapterRef> = self.adapters().cloned().collect();
        for adapter in known.into_iter().filter(|adapter| !wanted.contains_key(adapter)) {
            self.applied.remove(&adapter);
            self.granted.remove(&adapter);
            self.give_back(adapter, actions);
        }
    }

    /// Tells the holder that a load ended or isn't wanted.
    pub fn give_back(&self, adapter: AdapterRef, actions: &mut Vec<EngineAction>) {
        if self.mode == PermitMode::Required {
            actions.push(EngineAction::ReturnPermit(adapter));
        }
    }
}

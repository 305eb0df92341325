//! Load permits of one engine: requested, granted and not yet used.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::EngineAction;
use crate::decide::permits::Urgency;
use crate::names::AdapterRef;
use crate::names::Timestamp;

/// Time after which an unanswered permit request is repeated; the issuer may have changed by then.
const REQUEST_REPEAT_AFTER: Duration = Duration::from_secs(3);

/// Whether loads require a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitMode {
    /// Every load is permitted at once.
    NotRequired,
    /// The weight store's permit issuer is asked before each load.
    Required,
}

/// Permit requests and unused permits of one engine.
#[derive(Clone, Debug)]
pub struct LoadPermits {
    mode: PermitMode,
    requested: BTreeMap<AdapterRef, PermitRequest>,
    granted: BTreeSet<AdapterRef>,
    wait: Duration,
}

#[derive(Clone, Copy, Debug)]
struct PermitRequest {
    urgency: Urgency,
    sent: Timestamp,
}

impl LoadPermits {
    /// Starts without requests or permits.
    pub fn new(mode: PermitMode) -> Self {
        Self { mode, requested: BTreeMap::new(), granted: BTreeSet::new(), wait: Duration::ZERO }
    }

    /// How long a new load would wait for its permit, by the issuer's latest estimate.
    pub fn wait(&self) -> Duration {
        self.wait
    }

    /// Replaces the issuer's estimate of [`Self::wait`].
    pub fn set_wait(&mut self, wait: Duration) {
        self.wait = wait;
    }

    /// Number of permit requests and unused permits.
    pub fn outstanding(&self) -> usize {
        self.requested.len() + self.granted.len()
    }

    /// Adapters with a permit request or an unused permit.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.requested.keys().chain(&self.granted)
    }

    /// Whether the adapter has a permit request or an unused permit.
    pub fn covers(&self, adapter: &AdapterRef) -> bool {
        self.requested.contains_key(adapter) || self.granted.contains(adapter)
    }

    /// Adapters with an unused permit.
    pub fn granted(&self) -> impl Iterator<Item = &AdapterRef> {
        self.granted.iter()
    }

    /// Requests a permit, or tells the issuer the new urgency of a request.
    pub fn request(
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
        let known = self.requested.get(adapter);
        let current = known.is_some_and(|known| {
            known.urgency == urgency && now.since(known.sent) < REQUEST_REPEAT_AFTER
        });
        if current || self.granted.contains(adapter) {
            return;
        }
        self.requested.insert(adapter.clone(), PermitRequest { urgency, sent: now });
        actions.push(EngineAction::RequestPermit { adapter: adapter.clone(), urgency });
    }

    /// Keeps a granted permit; one that wasn't requested is returned.
    pub fn on_granted(&mut self, adapter: AdapterRef, actions: &mut Vec<EngineAction>) {
        if self.requested.remove(&adapter).is_some() {
            self.granted.insert(adapter);
        } else if !self.granted.contains(&adapter) {
            self.return_permit(adapter, actions);
        }
    }

    /// Removes the permit of a load that starts or that can't start.
    pub fn consume(&mut self, adapter: &AdapterRef) {
        self.granted.remove(adapter);
    }

    /// Withdraws every request and returns every permit that `wanted` doesn't name.
    pub fn retain_wanted(
        &mut self,
        wanted: &BTreeMap<AdapterRef, Urgency>,
        actions: &mut Vec<EngineAction>,
    ) {
        let known: Vec<AdapterRef> = self.adapters().cloned().collect();
        for adapter in known.into_iter().filter(|adapter| !wanted.contains_key(adapter)) {
            self.requested.remove(&adapter);
            self.granted.remove(&adapter);
            self.return_permit(adapter, actions);
        }
    }

    /// Tells the issuer that a load ended or isn't wanted.
    pub fn return_permit(&self, adapter: AdapterRef, actions: &mut Vec<EngineAction>) {
        if self.mode == PermitMode::Required {
            actions.push(EngineAction::ReturnPermit(adapter));
        }
    }
}

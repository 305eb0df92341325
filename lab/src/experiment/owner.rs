//! The owner's side of an engine, by policy.

use tamaracklead::decide::engine::EngineAction;
use tamaracklead::decide::engine::EngineInput;
use tamaracklead::decide::engine::EngineScheduler;
use tamaracklead::decide::engine::EngineSummary;
use tamaracklead::decide::engine::PermitMode;
use tamaracklead::decide::engine::SlotState;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;

use super::lru_core::LruCore;
use super::policy::Policy;
use crate::load::Deployment;

/// Queue and slots of one engine.
#[derive(Clone, Debug)]
pub enum Owner {
    /// The project's core.
    Ours(Box<EngineScheduler>),
    /// The baselines' core.
    Lru(LruCore),
}

impl Owner {
    /// A core for one engine of a deployment.
    pub fn new(policy: Policy, deployment: &Deployment) -> Self {
        let (slots, batch) = (deployment.slots, deployment.batch);
        match policy {
            Policy::Ours => Self::Ours(Box::new(EngineScheduler::with_permits(
                slots,
                batch,
                PermitMode::Required,
            ))),
            Policy::LeastLoaded | Policy::Hash | Policy::Random => {
                Self::Lru(LruCore::new(slots, batch))
            }
        }
    }

    /// Takes one event and returns what must be done.
    pub fn on_input(&mut self, now: Timestamp, input: EngineInput) -> Vec<EngineAction> {
        match self {
            Self::Ours(core) => core.on_input(now, input),
            Self::Lru(core) => core.on_input(now, input),
        }
    }

    /// Whether an adapter is loaded.
    pub fn is_ready(&self, adapter: &AdapterRef) -> bool {
        let slots = match self {
            Self::Ours(core) => core.slots(),
            Self::Lru(core) => core.slots(),
        };
        matches!(slots.get(adapter), Some(SlotState::Ready { .. }))
    }

    /// What the owner tells the instances that route.
    pub fn summary(&self, now: Timestamp) -> EngineSummary {
        match self {
            Self::Ours(core) => core.summary(now),
            Self::Lru(_) => EngineSummary::default(),
        }
    }

    /// Requests that wait or run.
    pub fn depth(&self) -> usize {
        match self {
            Self::Ours(core) => core.waiting().len() + core.running().len(),
            Self::Lru(core) => core.waiting().len() + core.running().len(),
        }
    }

    /// Requests that wait for an adapter.
    pub fn waiting_for(&self, adapter: &AdapterRef) -> Vec<RequestId> {
        let waiting = match self {
            Self::Ours(core) => core.waiting(),
            Self::Lru(core) => core.waiting(),
        };
        let wanted = waiting.iter().filter(|waiting| &waiting.adapter == adapter);
        wanted.map(|waiting| waiting.request_id).collect()
    }
}

//! The scheduler that an engine's owner runs, by policy.

use tamaracklead::decide::engine::EngineAction;
use tamaracklead::decide::engine::EngineInput;
use tamaracklead::decide::engine::EngineScheduler;
use tamaracklead::decide::engine::EngineSummary;
use tamaracklead::decide::engine::PermitMode;
use tamaracklead::decide::engine::SlotState;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;

use super::lru_scheduler::LruScheduler;
use super::policy::Policy;
use crate::workloads::Deployment;

/// Scheduler of one engine.
#[derive(Clone, Debug)]
pub enum Owner {
    /// The project's scheduler, which asks for permits to load.
    Tamaracklead(Box<EngineScheduler>),
    /// The baselines' LRU scheduler.
    Lru(LruScheduler),
}

impl Owner {
    /// A scheduler for one engine of a deployment.
    pub fn new(policy: Policy, deployment: &Deployment) -> Self {
        let (slots, batch) = (deployment.slots, deployment.batch);
        match policy {
            Policy::Tamaracklead => Self::Tamaracklead(Box::new(EngineScheduler::with_permits(
                slots,
                batch,
                PermitMode::Required,
            ))),
            Policy::LeastLoaded | Policy::Hash | Policy::Random => {
                Self::Lru(LruScheduler::new(slots, batch))
            }
        }
    }

    /// Applies one input and returns the actions to carry out.
    pub fn on_input(&mut self, now: Timestamp, input: EngineInput) -> Vec<EngineAction> {
        match self {
            Self::Tamaracklead(scheduler) => scheduler.on_input(now, input),
            Self::Lru(scheduler) => scheduler.on_input(now, input),
        }
    }

    /// Whether an adapter is loaded and ready to serve.
    pub fn is_ready(&self, adapter: &AdapterRef) -> bool {
        let slots = match self {
            Self::Tamaracklead(scheduler) => scheduler.slots(),
            Self::Lru(scheduler) => scheduler.slots(),
        };
        matches!(slots.get(adapter), Some(SlotState::Ready { .. }))
    }

    /// Summary that routing uses; empty for the baselines, whose routing reads none.
    pub fn summary(&self, now: Timestamp) -> EngineSummary {
        match self {
            Self::Tamaracklead(scheduler) => scheduler.summary(now),
            Self::Lru(_) => EngineSummary::default(),
        }
    }

    /// Number of queued and running requests.
    pub fn depth(&self) -> usize {
        match self {
            Self::Tamaracklead(scheduler) => scheduler.waiting().len() + scheduler.running().len(),
            Self::Lru(scheduler) => scheduler.waiting().len() + scheduler.running().len(),
        }
    }

    /// Queued requests for an adapter.
    pub fn waiting_for(&self, adapter: &AdapterRef) -> Vec<RequestId> {
        let waiting = match self {
            Self::Tamaracklead(scheduler) => scheduler.waiting(),
            Self::Lru(scheduler) => scheduler.waiting(),
        };
        let wanted = waiting.iter().filter(|waiting| &waiting.adapter == adapter);
        wanted.map(|waiting| waiting.request_id).collect()
    }
}

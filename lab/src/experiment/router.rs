//! Chooses the engine of a request, by policy, from views as old as the last tick.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::engine::EngineSummary;
use tamaracklead::decide::rendezvous;
use tamaracklead::decide::routing;
use tamaracklead::names::AdapterRef;

use super::policy::Policy;
use crate::workloads::Deployment;

/// How many engines, first in the adapter's rendezvous order, the project's policy considers.
const CANDIDATE_ENGINES: usize = 2;

/// Routing's view of one engine, as of the last tick.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineView {
    /// Number of queued and running requests.
    pub depth: usize,
    /// Whether the engine accepts work, that is, isn't restarting.
    pub live: bool,
    /// Summary from the owner; empty for the baselines.
    pub summary: EngineSummary,
}

/// Routes requests to engines under one policy.
#[derive(Clone, Debug)]
pub struct Router {
    policy: Policy,
    names: Vec<String>,
    stall_weight: u8,
}

impl Router {
    /// A router over the engines of a deployment.
    pub fn new(policy: Policy, deployment: &Deployment) -> Self {
        let names = (0..deployment.engines).map(|engine| format!("engine-{engine}")).collect();
        Self { policy, names, stall_weight: deployment.stall_weight }
    }

    /// Chooses a live engine other than `avoid`; `None` if there is none.
    pub fn choose(
        &self,
        adapter: &AdapterRef,
        avoid: Option<usize>,
        views: &[EngineView],
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let usable: Vec<usize> =
            (0..views.len()).filter(|e| views[*e].live && Some(*e) != avoid).collect();
        if usable.is_empty() {
            return None;
        }
        match self.policy {
            Policy::Random => Some(usable[rng.random_range(0..usable.len())]),
            Policy::LeastLoaded => usable.into_iter().min_by_key(|engine| views[*engine].depth),
            Policy::Hash => self.rank(adapter, usable).first().copied(),
            Policy::Tamaracklead => {
                let mut candidates = self.rank(adapter, usable);
                candidates.truncate(CANDIDATE_ENGINES);
                let summaries: Vec<_> =
                    candidates.iter().map(|engine| &views[*engine].summary).collect();
                routing::choose_engine(adapter, &summaries, self.stall_weight)
                    .map(|index| candidates[index])
            }
        }
    }

    /// The engine that ranks first for an adapter, live or not.
    pub fn top_ranked_engine(&self, adapter: &AdapterRef) -> usize {
        self.rank(adapter, (0..self.names.len()).collect())[0]
    }

    fn rank(&self, adapter: &AdapterRef, engines: Vec<usize>) -> Vec<usize> {
        let named = engines.into_iter().map(|e| (e, self.names[e].as_str())).collect();
        let ranked = rendezvous::rank(adapter.adapter.as_str(), named, |(_, name)| name);
        ranked.into_iter().map(|(engine, _)| engine).collect()
    }
}

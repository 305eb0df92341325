//! Which engine a request is sent to, by policy.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::engine::EngineSummary;
use tamaracklead::decide::rendezvous;
use tamaracklead::decide::routing;
use tamaracklead::names::AdapterRef;

use super::policy::Policy;
use crate::load::Deployment;

/// Homes among which a request is routed.
const HOMES: usize = 2;

/// What the entry instances know of one engine; as old as the last report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineView {
    /// Requests that wait or run.
    pub depth: usize,
    /// Whether the engine takes work.
    pub live: bool,
    /// What the owner says of it, if the owner is ours.
    pub summary: EngineSummary,
}

/// Routes requests.
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

    /// Chooses an engine other than `avoid`.
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
            Policy::Hash => self.ranked(adapter, usable).first().copied(),
            Policy::Ours => {
                let mut homes = self.ranked(adapter, usable);
                homes.truncate(HOMES);
                let summaries: Vec<_> = homes.iter().map(|home| &views[*home].summary).collect();
                routing::choose_engine(adapter, &summaries, self.stall_weight)
                    .map(|home| homes[home])
            }
        }
    }

    /// First home of an adapter among all engines.
    pub fn first_home(&self, adapter: &AdapterRef) -> usize {
        self.ranked(adapter, (0..self.names.len()).collect())[0]
    }

    fn ranked(&self, adapter: &AdapterRef, engines: Vec<usize>) -> Vec<usize> {
        let named = engines.into_iter().map(|e| (e, self.names[e].as_str())).collect();
        let ranked = rendezvous::rank(adapter.adapter.as_str(), named, |(_, name)| name);
        ranked.into_iter().map(|(engine, _)| engine).collect()
    }
}

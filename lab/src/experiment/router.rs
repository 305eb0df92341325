//! Which engine a request is sent to, by policy.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::rendezvous;

use super::policy::Policy;

/// What the entry instances know of one engine; as old as the last report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineView {
    /// Requests that wait or run.
    pub depth: usize,
    /// Whether the engine takes work.
    pub live: bool,
}

/// Routes requests.
#[derive(Clone, Debug)]
pub struct Router {
    policy: Policy,
    names: Vec<String>,
}

impl Router {
    /// A router over `engines` engines.
    pub fn new(policy: Policy, engines: usize) -> Self {
        Self { policy, names: (0..engines).map(|engine| format!("engine-{engine}")).collect() }
    }

    /// Chooses an engine other than `avoid`.
    pub fn choose(
        &self,
        adapter: &str,
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
            Policy::Hash | Policy::Ours => {
                let named = usable.into_iter().map(|e| (e, self.names[e].as_str())).collect();
                let ranked = rendezvous::rank(adapter, named, |(_, name)| name);
                ranked.first().map(|(engine, _)| *engine)
            }
        }
    }
}

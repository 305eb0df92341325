//! What happens in a run of the model.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Length of a run, in ms.
pub const RUN_MS: u64 = 40_000;
/// Time at the start in which the fleet has no trouble, in ms.
const QUIET_MS: u64 = 6000;

/// Instances without trouble if the store is restored.
const UNTROUBLED: usize = 3;
/// Time before a restore in which no version is published, in ms.
const SEEN_MS: u64 = 500;

/// What happens to an instance, from a time until another one, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// It doesn't reach the store.
    CutFromStore,
    /// It reaches neither the store nor its peers.
    CutFromAll,
    /// Its process is suspended.
    Paused,
    /// It is killed, and started again at the end.
    Killed,
}

/// Trouble of one instance.
#[derive(Clone, Copy, Debug)]
pub struct Spell {
    pub trouble: Trouble,
    pub from: u64,
    pub until: u64,
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub instances: usize,
    /// For each instance.
    pub spells: Vec<Vec<Spell>>,
    /// When versions are published, in ms.
    pub publications: Vec<u64>,
    /// When the store is restored, in ms.
    pub restore: Option<u64>,
    /// When nobody reaches the store, in ms.
    pub outage: Option<(u64, u64)>,
}

impl Plan {
    /// Instances with trouble of any kind, a few publications, perhaps an outage and a restore.
    pub fn random(seed: u64, instances: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut spells = vec![Vec::new(); instances];
        let all = [Trouble::CutFromStore, Trouble::CutFromAll, Trouble::Paused, Trouble::Killed];
        for spells in &mut spells {
            let mut from = QUIET_MS;
            while rng.random_bool(0.6) {
                from += rng.random_range(500..12_000);
                let until = from + rng.random_range(200..12_000);
                let trouble = all[rng.random_range(0..all.len())];
                spells.push(Spell { trouble, from, until });
                from = until + 500;
            }
        }
        let mut publications = vec![1];
        let mut at = QUIET_MS;
        while at < RUN_MS - 8000 {
            at += rng.random_range(50..9000);
            publications.push(at);
        }
        let outage_from = rng.random_range(QUIET_MS..RUN_MS - 10_000);
        let outage =
            rng.random_bool(0.3).then(|| (outage_from, outage_from + rng.random_range(500..9000)));
        let restore = (outage.is_none() && rng.random_bool(0.5)).then(|| {
            // What nobody has read can't be known afterwards: the last version must have been read
            // by instances without trouble.
            spells.iter_mut().take(UNTROUBLED).for_each(Vec::clear);
            let at = rng.random_range(QUIET_MS + 9000..RUN_MS - 9000);
            publications.retain(|published| !(at - SEEN_MS..=at).contains(published));
            at
        });
        Self { seed, instances, spells, publications, restore, outage }
    }

    /// A third of the instances cut off from the store, the first readers among them.
    pub fn cut_from_store(seed: u64, instances: usize) -> Self {
        let mut plan = Self { seed, ..Self::calm(instances) };
        for (index, spells) in plan.spells.iter_mut().take(instances / 3).enumerate() {
            let from = QUIET_MS + 100 * index as u64;
            spells.push(Spell { trouble: Trouble::CutFromStore, from, until: RUN_MS });
        }
        plan
    }

    /// No trouble, and a version every few seconds.
    pub fn calm(instances: usize) -> Self {
        let publications = std::iter::once(1).chain((QUIET_MS..RUN_MS).step_by(4700)).collect();
        let spells = vec![Vec::new(); instances];
        Self { seed: 1, instances, spells, publications, restore: None, outage: None }
    }
}

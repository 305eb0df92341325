//! What happens in a run: replicas with their limits, troubles of instances, and the load.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::send_limits::NamedLimits;

use crate::instance::Spell;
use crate::instance::Trouble;
use crate::replica::Replica;

/// Length of a run, in ms.
pub const RUN_MS: u64 = 26_000;

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub replicas: Vec<Replica>,
    pub spells: Vec<Vec<Spell>>,
    /// Requests of all callers a second.
    pub load: f64,
}

impl Plan {
    /// Replicas with random rates, and instances with random troubles.
    pub fn random_rates(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let replicas = (0..rng.random_range(1..5)).map(|_| {
            let rate = [0.0, 0.25, 0.5, 1.0, 2.0, 5.0, 20.0][rng.random_range(0..7)];
            let limits = NamedLimits { rate: Some(rate), max_rejections: None };
            let from = rng.random_range(500..6000);
            let until = from + rng.random_range(8000..20_000);
            Replica::new(limits, (from, until), 64, 1000, rng.random_range(20..2000))
        });
        let replicas = replicas.collect();
        let instances = [1, 2, 5, 9, 20][rng.random_range(0..5)];
        let spells = random_spells(&mut rng, instances);
        Self { seed, replicas, spells, load: rng.random_range(5.0..200.0) }
    }

    /// Brittle replicas with random room, and instances with random troubles.
    pub fn random_rejection_limits(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..12);
        let max_rejections = rng.random_range(2..9);
        let slots = [6, 16, 64][rng.random_range(0..3)];
        let work_ms = rng.random_range(30..1500);
        let replicas = (0..count).map(|_| {
            let limits = NamedLimits { rate: None, max_rejections: Some(max_rejections) };
            let room = slots + rng.random_range(0..4);
            Replica::new(limits, (1000, 20_000), slots, room, work_ms)
        });
        let replicas: Vec<Replica> = replicas.collect();
        let instances = [1, 2, 5, 9, 20][rng.random_range(0..5)];
        let spells = random_spells(&mut rng, instances);
        let capacity = f64::from(count * slots) * 1000.0 / work_ms as f64;
        Self { seed, replicas, spells, load: (capacity * rng.random_range(0.3..3.0)).min(800.0) }
    }

    /// One replica with a rate, and callers that want more.
    pub fn steady(seed: u64, instances: usize, rate: f64) -> Self {
        let limits = NamedLimits { rate: Some(rate), max_rejections: None };
        let replicas = vec![Replica::new(limits, (0, RUN_MS), 64, 1000, 50)];
        Self { seed, replicas, spells: vec![Vec::new(); instances], load: rate * 3.0 + 5.0 }
    }
}

fn random_spells(rng: &mut ChaCha8Rng, instances: usize) -> Vec<Vec<Spell>> {
    let spells = (0..instances).map(|_| {
        let mut from = 0;
        let mut spells = Vec::new();
        while rng.random_bool(0.5) {
            from += rng.random_range(1000..9000);
            let until = from + rng.random_range(300..5000);
            let trouble = [Trouble::Killed, Trouble::Frozen, Trouble::Cut][rng.random_range(0..3)];
            spells.push(Spell { trouble, from, until });
            from = until + 1;
        }
        spells
    });
    spells.collect()
}

//! What happens in one run of the model, drawn from its seed.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time before the first crashing request, in milliseconds.
const CALM_MS: u64 = 8_000;
/// Length of most runs, in milliseconds.
const RUN_MS: u64 = 32_000;
/// Length of runs of large fleets, in milliseconds.
const LARGE_RUN_MS: u64 = 24_000;
/// Length of runs in which quarantines end, in milliseconds.
const LONG_RUN_MS: u64 = 140_000;
/// Id of the first crashing part.
const FIRST_BAD_ID: u64 = 40;

/// A prompt part that crashes replicas.
#[derive(Clone, Copy, Debug)]
pub struct BadPart {
    /// Id of the part.
    pub id: u64,
    /// Position in its prompts, from 1 on.
    pub position: usize,
    /// Time of the first request, in milliseconds.
    pub since_ms: u64,
    /// Requests a second.
    pub per_s: f64,
}

/// Something else that goes wrong.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// These replicas crash within 150 ms.
    Crash(Vec<usize>),
    /// An instance is killed and starts again.
    Kill(usize),
    /// An instance stands still for two seconds.
    Pause(usize),
    /// Instances are cut off from the others.
    CutOff { instances: Vec<usize>, ms: u64 },
}

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub instances: usize,
    pub replicas: usize,
    pub run_ms: u64,
    pub sound_per_s: f64,
    pub bad: Vec<BadPart>,
    /// Share of the heads that are lost when the replica crashes.
    pub lost_heads: f64,
    /// Share of the messages between instances that are lost.
    pub lost_messages: f64,
    /// Share of the streams that break off although their replica goes on.
    pub cut_streams: f64,
    pub troubles: Vec<(u64, Trouble)>,
}

impl Plan {
    /// Size and events that belong to a seed.
    pub fn draw(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x706c_616e);
        let (instances, replicas, sound_per_s) = match seed % 15 {
            7 => (90, rng.random_range(40..80), 150.0),
            14 => (195, 156, 300.0),
            n if n % 2 == 0 => (3, 9, 25.0),
            _ => (9, rng.random_range(9..20), 40.0),
        };
        let is_long = instances < 10 && seed.is_multiple_of(5);
        let run_ms = match instances {
            _ if is_long => LONG_RUN_MS,
            0..10 => RUN_MS,
            _ => LARGE_RUN_MS,
        };
        let mut plan = Self {
            seed,
            instances,
            replicas,
            run_ms,
            sound_per_s,
            bad: Vec::new(),
            lost_heads: [0.0, 0.1, 0.3, 0.45][rng.random_range(0..4)],
            lost_messages: [0.0, 0.02, 0.1][rng.random_range(0..3)],
            cut_streams: if rng.random_bool(0.5) { 0.02 } else { 0.0 },
            troubles: Vec::new(),
        };
        plan.draw_bad_parts(&mut rng);
        plan.draw_troubles(&mut rng);
        plan
    }

    /// The plan without a part that crashes replicas.
    pub fn without_bad_parts(self) -> Self {
        Self { bad: Vec::new(), ..self }
    }

    fn draw_bad_parts(&mut self, rng: &mut ChaCha8Rng) {
        let is_second_at_once = rng.random_bool(0.5);
        for index in 0..rng.random_range(1..=2) {
            let delay = if index == 0 || is_second_at_once { 0 } else { 7_000 };
            self.bad.push(BadPart {
                id: FIRST_BAD_ID + index,
                position: rng.random_range(1..=2),
                since_ms: CALM_MS + delay,
                per_s: rng.random_range(1.0..8.0),
            });
        }
    }

    fn draw_troubles(&mut self, rng: &mut ChaCha8Rng) {
        for _ in 0..rng.random_range(0..=6) {
            let at_ms = rng.random_range(3_000..self.run_ms - 4_000);
            let instance = rng.random_range(0..self.instances);
            let replica = rng.random_range(0..self.replicas);
            let trouble = match rng.random_range(0..6) {
                0 | 1 => Trouble::Crash(vec![replica]),
                2 => {
                    let size = (self.replicas / 4).clamp(2, 16);
                    Trouble::Crash((0..size).map(|i| (replica + i) % self.replicas).collect())
                }
                3 => Trouble::Kill(instance),
                4 => Trouble::Pause(instance),
                _ => {
                    let size = (self.instances / 4).max(1);
                    let instances = (0..size).map(|i| (instance + i) % self.instances).collect();
                    Trouble::CutOff { instances, ms: rng.random_range(1_000..6_000) }
                }
            };
            self.troubles.push((at_ms, trouble));
        }
    }
}

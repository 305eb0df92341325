//! Zipf popularity of adapters, with a ranking that can change.

use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// Exponent of the Zipf distribution.
const EXPONENT: f64 = 1.1;

/// A distribution over adapters.
#[derive(Clone, Debug)]
pub struct Popularity {
    ranking: Vec<usize>,
    cumulative: Vec<f64>,
}

impl Popularity {
    /// A Zipf distribution over `adapters`, ranked at random.
    pub fn zipf(adapters: usize, rng: &mut ChaCha8Rng) -> Self {
        let mut ranking: Vec<usize> = (0..adapters).collect();
        ranking.shuffle(rng);
        let mut sum = 0.0;
        let cumulative = (1..=adapters)
            .map(|rank| {
                sum += (rank as f64).powf(-EXPONENT);
                sum
            })
            .collect();
        Self { ranking, cumulative }
    }

    /// Draws an adapter.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> usize {
        let total = self.cumulative.last().copied().unwrap_or(0.0);
        let point = rng.random::<f64>() * total;
        let rank = self.cumulative.partition_point(|sum| *sum < point);
        self.ranking[rank.min(self.ranking.len() - 1)]
    }

    /// Ranks adapters anew: yesterday's rare ones may be hot.
    pub fn shift(&mut self, rng: &mut ChaCha8Rng) {
        self.ranking.shuffle(rng);
    }

    /// Moves these adapters to the top of the ranking.
    pub fn promote(&mut self, adapters: &[usize]) {
        self.ranking.retain(|adapter| !adapters.contains(adapter));
        self.ranking.splice(0..0, adapters.iter().copied());
    }

    /// The adapters ranked `ranks`.
    pub fn ranked(&self, ranks: std::ops::Range<usize>) -> &[usize] {
        &self.ranking[ranks]
    }
}

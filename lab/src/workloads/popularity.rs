//! Zipf distribution over adapters whose ranking can change during a run.

use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// Exponent of the Zipf distribution.
const ZIPF_EXPONENT: f64 = 1.1;

/// Zipf distribution over a ranking of adapters.
#[derive(Clone, Debug)]
pub struct Popularity {
    ranking: Vec<usize>,
    cumulative: Vec<f64>,
}

impl Popularity {
    /// A distribution over `adapters` adapters in random order.
    pub fn zipf(adapters: usize, rng: &mut ChaCha8Rng) -> Self {
        let mut ranking: Vec<usize> = (0..adapters).collect();
        ranking.shuffle(rng);
        let mut sum = 0.0;
        let cumulative = (1..=adapters)
            .map(|rank| {
                sum += (rank as f64).powf(-ZIPF_EXPONENT);
                sum
            })
            .collect();
        Self { ranking, cumulative }
    }

    /// Samples an adapter.
    pub fn sample(&self, rng: &mut ChaCha8Rng) -> usize {
        let total = self.cumulative.last().copied().unwrap_or(0.0);
        let point = rng.random::<f64>() * total;
        let rank = self.cumulative.partition_point(|sum| *sum < point);
        self.ranking[rank.min(self.ranking.len() - 1)]
    }

    /// Ranks all adapters at random again, so that rare ones may become popular.
    pub fn reshuffle(&mut self, rng: &mut ChaCha8Rng) {
        self.ranking.shuffle(rng);
    }

    /// Moves these adapters to the top of the ranking, in this order.
    pub fn move_to_top(&mut self, adapters: &[usize]) {
        self.ranking.retain(|adapter| !adapters.contains(adapter));
        self.ranking.splice(0..0, adapters.iter().copied());
    }

    /// The adapters at these ranks, from 0.
    pub fn adapters_at(&self, ranks: std::ops::Range<usize>) -> &[usize] {
        &self.ranking[ranks]
    }
}

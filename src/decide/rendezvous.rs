//! Rendezvous hashing (highest random weight): ranks nodes for a key alike on every instance.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Ranking of nodes for one key.
#[derive(Clone, Copy, Debug)]
pub struct Ranking {
    seed: u64,
}

impl Ranking {
    /// The ranking for `key`.
    pub fn new(key: &str) -> Self {
        Self { seed: xxh3_64_with_seed(key.as_bytes(), 0) }
    }

    /// Score of `node`; the highest score ranks first.
    pub fn score(self, node: &str) -> u64 {
        xxh3_64_with_seed(node.as_bytes(), self.seed)
    }
}

/// Score of `node` for `key`; the highest score ranks first.
pub fn score(key: &str, node: &str) -> u64 {
    Ranking::new(key).score(node)
}

/// Sorts `nodes` by their score for `key`, highest first; equal scores by name.
pub fn rank<T>(key: &str, mut nodes: Vec<T>, name: impl Fn(&T) -> &str) -> Vec<T> {
    let ranking = Ranking::new(key);
    let mut scored: Vec<(u64, T)> =
        nodes.drain(..).map(|node| (ranking.score(name(&node)), node)).collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(&a.1).cmp(name(&b.1))));
    scored.into_iter().map(|(_, node)| node).collect()
}

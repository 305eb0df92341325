//! Rendezvous hashing (highest random weight): ranks nodes for a key alike on every instance.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of `node` for `key`; the highest score ranks first.
pub fn score(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Sorts `nodes` by their score for `key`, highest first; equal scores by name.
pub fn rank<T>(key: &str, mut nodes: Vec<T>, name: impl Fn(&T) -> &str) -> Vec<T> {
    nodes.sort_by_cached_key(|node| {
        let name = name(node);
        (std::cmp::Reverse(score(key, name)), name.to_owned())
    });
    nodes
}

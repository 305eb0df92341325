//! Ranking of the engines for an adapter by rendezvous hashing.

use std::cmp::Reverse;

use crate::decide::rendezvous;
use crate::names::AdapterName;
use crate::wire::listing::ListedBackend;

/// Sorts the engines by their rendezvous score for an adapter, best first.
pub fn rank_engines(adapter: &AdapterName, engines: Vec<ListedBackend>) -> Vec<ListedBackend> {
    rendezvous::rank(adapter.as_str(), engines, |engine| engine.name.as_str())
}

/// The `count` best engines for an adapter, best first.
///
/// Same order as [`rank_engines`], but in one pass and without copies.
pub fn top_ranked_engines<'a>(
    adapter: &AdapterName,
    engines: impl IntoIterator<Item = &'a ListedBackend>,
    count: usize,
) -> Vec<&'a ListedBackend> {
    let mut best: Vec<(Reverse<u64>, &'a ListedBackend)> = Vec::with_capacity(count + 1);
    for engine in engines {
        let score = Reverse(rendezvous::score(adapter.as_str(), engine.name.as_str()));
        let place = best.partition_point(|(known, other)| {
            (known, other.name.as_str()) < (&score, engine.name.as_str())
        });
        if place < count {
            best.insert(place, (score, engine));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, engine)| engine).collect()
}

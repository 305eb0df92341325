//! What happens in a run.

use std::ops::Range;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;

/// Length of a run in ms.
pub const RUN_MS: u64 = 75_000;
/// Most instances of a fleet.
pub const MAX_INSTANCES: usize = 7;
/// Time within which several troubles come together, in ms.
const CLUSTER_MS: u64 = 5000;
const VERSIONS: Range<usize> = 0..3;

/// A change that the operator makes, or a fault.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// Replicas are replaced one by one by replicas of a version; `count` of them.
    Release { version: usize, count: usize, interval_ms: u64 },
    /// A replica ends without a word, and another one of its version starts.
    KillReplica { which: usize },
    /// The entry of a replica is removed without a word before, and it serves on for a while.
    Withdraw { which: usize, serves_on_ms: u64 },
    /// The store discards its history.
    DiscardHistory,
    /// An instance is killed and starts again.
    Kill { who: usize, down_ms: u64 },
    /// All instances are killed and start again.
    KillAll { down_ms: u64 },
    /// The instances of a group hear only each other, and the published state unless `is_blind`.
    Cut { group: u8, lasts_ms: u64, is_blind: bool },
    /// The view of an instance lags.
    Lag { who: usize, lag_ms: u64, lasts_ms: u64 },
    /// A share of the messages is lost, in percent.
    Lose { percent: u32, lasts_ms: u64 },
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub instances: usize,
    pub replicas: usize,
    /// Instances that run an older build, which knows nothing of origins, until they start again.
    pub old: u8,
    pub troubles: Vec<(u64, Trouble)>,
}

fn troubles() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        4 => (VERSIONS, 1..9_usize, 50..6000_u64).prop_map(|(version, count, interval_ms)| {
            Trouble::Release { version, count, interval_ms }
        }),
        4 => any::<usize>().prop_map(|which| Trouble::KillReplica { which }),
        4 => (0..MAX_INSTANCES, 300..6000_u64)
            .prop_map(|(who, down_ms)| Trouble::Kill { who, down_ms }),
        2 => (any::<usize>(), 2000..9000_u64).prop_map(
            |(which, serves_on_ms)| Trouble::Withdraw { which, serves_on_ms }
        ),
        1 => (300..3000_u64).prop_map(|down_ms| Trouble::KillAll { down_ms }),
        1 => Just(Trouble::DiscardHistory),
        2 => (any::<u8>(), 300..12_000_u64, any::<bool>()).prop_map(
            |(group, lasts_ms, is_blind)| Trouble::Cut { group, lasts_ms, is_blind }
        ),
        2 => (0..MAX_INSTANCES, 0..2500_u64, 1000..20_000_u64).prop_map(
            |(who, lag_ms, lasts_ms)| Trouble::Lag { who, lag_ms, lasts_ms }
        ),
        1 => (5..100_u32, 500..8000_u64)
            .prop_map(|(percent, lasts_ms)| Trouble::Lose { percent, lasts_ms }),
    ]
}

fn in_cluster((begin, troubles): (u64, Vec<(u64, Trouble)>)) -> Vec<(u64, Trouble)> {
    troubles.into_iter().map(|(after, trouble)| (begin + after, trouble)).collect()
}

pub fn plans() -> impl Strategy<Value = Plan> {
    let old = prop_oneof![3 => 0..1_u8, 1 => any::<u8>()];
    let cluster = vec((0..CLUSTER_MS, troubles()), 1..6);
    let clusters = vec((0..RUN_MS, cluster), 0..9);
    (any::<u64>(), 1..=MAX_INSTANCES, 4..10_usize, old, clusters).prop_map(
        |(seed, instances, replicas, old, clusters)| Plan {
            seed,
            instances,
            replicas,
            old,
            troubles: clusters.into_iter().flat_map(in_cluster).collect(),
        },
    )
}

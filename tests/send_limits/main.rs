//! Sends to replicas that name a limit, over random limits and failures of instances.

mod decisions;
mod event;
mod instance;
mod judge;
mod plan;
mod replica;
mod world;

use plan::Plan;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use world::World;

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..Default::default() })]

    // Guards against instances that together send a replica more than the rate that it names, whatever
    // happens to the instance that counts.
    #[test]
    fn no_replica_gets_more_than_the_rate_that_it_names(seed in any::<u64>()) {
        let mut world = World::new(Plan::random_rates(seed));
        world.run();
        let broken = world.broken_rates();
        prop_assert!(broken.is_empty(), "{broken:?}");
    }

    // Guards against brittle replicas that fall over, as several instances send more than they have
    // room for.
    #[test]
    fn brittle_replicas_rarely_fall(seed in any::<u64>()) {
        let mut world = World::new(Plan::random_rejection_limits(seed));
        world.run();
        let (falls, allowed) = (world.falls(), world.allowed_falls());
        prop_assert!(falls <= allowed, "{falls} falls, allowed {allowed}");
    }
}

// Guards against a rate that is kept but mostly left unused, while callers want it.
#[test]
fn callers_get_four_fifths_of_a_rate_that_they_want() {
    for (seed, rate) in [0.5, 1.0, 2.0, 5.0, 20.0].into_iter().enumerate() {
        for instances in [1, 9, 60] {
            let mut world = World::new(Plan::steady(seed as u64, instances, rate));
            world.run();
            let used = world.used_share();
            assert!(used >= 0.8, "{used:.2} of {rate}/s used by {instances} instances");
        }
    }
}

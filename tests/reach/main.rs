//! Instances that are cut off from replicas: how they find out, and through whom their requests go.

mod decisions;
mod world;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use world::Plan;
use world::World;

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..Default::default() })]

    // Guards against callers who are served worse at instances that are cut off than at the others, as
    // long as a third of the instances reach the replicas.
    #[test]
    fn callers_of_cut_instances_are_served_like_the_others(seed in any::<u64>()) {
        let mut world = World::new(Plan::random(seed));
        world.run();
        let (cut, others) = (world.cut.share(), world.others.share());
        prop_assert!(world.sent_twice == 0, "{} requests passed on twice", world.sent_twice);
        let failed = world.cut.sent - world.cut.served;
        let is_kept = cut >= 2.0 / 3.0 * others || failed <= 10 + world.cut.sent / 50;
        prop_assert!(is_kept, "{cut:.2} served at cut instances, {others:.2} at the others");
    }
}

// Guards against cut instances whose callers are served less than nine tenths as often, as an aim
// beyond the rule.
#[test]
fn callers_of_cut_instances_are_served_nine_tenths_as_often() {
    for (instances, cut) in [(2, 1), (9, 1), (9, 5), (60, 40), (420, 84)] {
        let mut world = World::new(Plan::steady(instances, cut));
        world.run();
        let (at_cut, others) = (world.cut.share(), world.others.share());
        assert!(at_cut >= 0.9 * others, "{cut} of {instances}: {at_cut:.2} and {others:.2}");
    }
}

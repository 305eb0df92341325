//! Large values of the published state on their way to all instances.

mod decisions;
mod event;
mod instance;
mod link;
mod message;
mod plan;
mod versions;
mod world;

use std::time::Duration;

use plan::Plan;
use world::World;

/// A configuration of 2,800 routes, in bytes.
const LARGE_BYTES: usize = 450_000;
/// Largest item that the store takes from the operator, in bytes.
const HUGE_BYTES: usize = 4 * 1024 * 1024;
/// Time within which a change of 1,400 routes is in effect everywhere.
const CHANGE_LIMIT: Duration = Duration::from_secs(1);
/// Time within which a change is in effect at every sound instance, by the deployments' contracts.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Time within which a change is in effect everywhere at the target size.
const TARGET_LIMIT: Duration = Duration::from_secs(16);

fn assert_in_time(world: &World, limit: Duration) {
    let (version, late) = world.slowest_change();
    assert!(late <= limit, "version {version} took {late:?}: {:?}", world.plan());
}

// Guards against a change of many routes that takes longer than its bound where most links are slow.
#[test]
fn a_change_of_many_routes_is_in_effect_everywhere_within_its_bound() {
    for seed in 0..5 {
        let mut world = World::new(Plan::new(seed, 89, LARGE_BYTES));
        world.run(Duration::from_secs(8));
        assert_in_time(&world, CHANGE_LIMIT);
        let most = world.most_sent();
        assert!(most <= 2 * LARGE_BYTES, "an instance sent {most} bytes");
    }
}

// Guards against bounds in time and bytes that hold for one size of the fleet or of the item only.
#[test]
fn changes_of_all_sizes_reach_fleets_of_all_sizes() {
    for count in [6, 58, 89, 420] {
        for (bytes, limit) in
            [(10_000, CHANGE_LIMIT), (LARGE_BYTES, PROPAGATION_LIMIT), (HUGE_BYTES, TARGET_LIMIT)]
        {
            let mut world = World::new(Plan::new(7, count, bytes));
            world.run(Duration::from_secs(30));
            assert_in_time(&world, limit);
            let most = world.most_sent();
            assert!(most <= 2 * bytes, "{count} instances, {bytes} bytes: one sent {most}");
        }
    }
}

// Guards against a fleet without any fast link, in which the readers are as slow as the others.
#[test]
fn a_change_reaches_a_fleet_of_slow_links_alone() {
    let plan = Plan { fast_links: 0, ..Plan::new(3, 89, LARGE_BYTES) };
    let mut world = World::new(plan);
    world.run(Duration::from_secs(10));
    assert_in_time(&world, PROPAGATION_LIMIT);
}

// Guards against transfers that are overtaken again and again, so that none is ever complete.
#[test]
fn changes_in_quick_succession_are_in_effect_in_time() {
    for (interval_ms, changes) in [(330, 20), (60, 60)] {
        for fast_links in [0, 8] {
            let base = Plan::new(11, 89, LARGE_BYTES);
            let plan = Plan { fast_links, changes, interval_ms, ..base };
            let mut world = World::new(plan);
            world.run(Duration::from_secs(20));
            assert_in_time(&world, PROPAGATION_LIMIT);
        }
    }
}

// Guards against a small change of a large item that costs a copy of the item.
#[test]
fn a_small_change_of_a_large_item_costs_little() {
    let plan = Plan { changed_bytes: 100, ..Plan::new(5, 89, LARGE_BYTES) };
    let mut world = World::new(plan);
    world.run(Duration::from_secs(8));
    assert_in_time(&world, CHANGE_LIMIT);
    let most = world.most_sent();
    assert!(most <= LARGE_BYTES / 4, "an instance sent {most} bytes");
}

// Guards against transfers that lost calls, instances cut off for a while and slow ones hold up for
// the others, or for good.
#[test]
fn lost_calls_cuts_and_slow_instances_delay_only_those_that_they_hit() {
    for seed in 0..10 {
        let plan = Plan { loss: 0.03, cut: 9, slow: 9, ..Plan::new(seed, 89, LARGE_BYTES) };
        let mut world = World::new(plan);
        world.run(Duration::from_secs(15));
        assert_in_time(&world, PROPAGATION_LIMIT);
        assert!(world.all_up_to_date(), "an instance is left behind");
    }
}

// Guards against instances that wait for what only processes had which are gone.
#[test]
fn a_change_arrives_although_all_instances_restart_midway() {
    for seed in 0..10 {
        let plan = Plan { restart_at_ms: Some(300), ..Plan::new(seed, 58, LARGE_BYTES) };
        let mut world = World::new(plan);
        world.run(Duration::from_secs(10));
        assert!(world.all_up_to_date(), "an instance is left behind");
        assert_in_time(&world, PROPAGATION_LIMIT);
    }
}

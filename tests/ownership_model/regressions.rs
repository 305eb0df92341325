//! Cases with fixed steps, some of them found by longer fuzz runs.

use tamaracklead::wire::listing::FencingMode;

use crate::step::NODES;
use crate::step::Step;
use crate::world::World;

fn run_steps(mode: FencingMode, steps: &[Step]) -> World {
    let mut world = World::new(mode);
    for step in steps {
        world.apply(*step);
        assert_eq!(world.violations(), Vec::<String>::new(), "after {step:?}");
    }
    world
}

fn request_after_takeover() -> Vec<Step> {
    vec![
        Step::SetPreferred { node: 0, preferred: true },
        Step::Run { ms: 20_000 },
        Step::Arrive { node: 0, adapter: 0 },
        Step::Run { ms: 2_000 },
    ]
}

#[test]
fn a_preferred_owner_gets_to_serve() {
    for mode in [FencingMode::Refuse, FencingMode::Ignore] {
        let world = run_steps(mode, &request_after_takeover());
        assert_eq!(world.engine.ran.len(), 1, "{mode:?}");
    }
}

#[test]
fn another_instance_serves_after_the_owner_was_killed() {
    for mode in [FencingMode::Refuse, FencingMode::Ignore] {
        let mut steps = request_after_takeover();
        steps.push(Step::Restart { node: 0 });
        steps.push(Step::Finish { pick: 0 });
        steps.push(Step::SetPreferred { node: 1, preferred: true });
        steps.push(Step::Run { ms: 20_000 });
        steps.extend((0..NODES).map(|node| Step::Arrive { node, adapter: 1 }));
        steps.push(Step::Run { ms: 2_000 });
        let world = run_steps(mode, &steps);
        assert_eq!(world.engine.ran.len(), 2, "{mode:?}");
    }
}

#[test]
fn a_paused_owner_that_resumes_sends_nothing() {
    for mode in [FencingMode::Refuse, FencingMode::Ignore] {
        let mut steps = request_after_takeover();
        steps.push(Step::Arrive { node: 0, adapter: 0 });
        steps.push(Step::Pause { node: 0 });
        steps.push(Step::SetPreferred { node: 1, preferred: true });
        steps.push(Step::Run { ms: 20_000 });
        steps.push(Step::Resume { node: 0 });
        steps.push(Step::Flush { node: 0 });
        steps.push(Step::Run { ms: 1_000 });
        let world = run_steps(mode, &steps);
        assert_eq!(world.engine.ran.len(), 1, "{mode:?}");
    }
}

#[test]
fn a_new_owner_evicts_nothing_that_its_predecessor_left_running() {
    for mode in [FencingMode::Refuse, FencingMode::Ignore] {
        let mut steps = request_after_takeover();
        steps.push(Step::Restart { node: 0 });
        steps.push(Step::SetPreferred { node: 1, preferred: true });
        steps.push(Step::Run { ms: 20_000 });
        steps.push(Step::Arrive { node: 1, adapter: 1 });
        steps.push(Step::Run { ms: 2_000 });
        let world = run_steps(mode, &steps);
        assert_eq!((world.engine.ran.len(), world.engine.evictions), (1, 0), "{mode:?}");
    }
}

#[test]
fn an_isolated_owner_stops_before_another_begins() {
    let mut steps = request_after_takeover();
    steps.push(Step::Isolate { node: 0 });
    steps.push(Step::SetPreferred { node: 1, preferred: true });
    steps.extend(vec![Step::Run { ms: 100 }; 200]);
    let world = run_steps(FencingMode::Ignore, &steps);
    assert_eq!(world.owners(), [1]);
}

#[test]
fn panel_members_that_restarted_abstain_while_a_forgotten_grant_may_hold() {
    let mut steps = request_after_takeover();
    steps.push(Step::IsolateAndRestartOthers { node: 0 });
    steps.push(Step::SetPreferred { node: 1, preferred: true });
    steps.extend(vec![Step::Run { ms: 100 }; 200]);
    let world = run_steps(FencingMode::Ignore, &steps);
    assert_eq!(world.owners(), [1]);
}

/// An order of the old owner is delayed, another instance takes the engine over, and then the order
/// arrives.
#[test]
fn a_late_unload_of_an_earlier_owner_evicts_nothing() {
    for mode in [FencingMode::Refuse, FencingMode::Ignore] {
        let mut steps = request_after_takeover();
        steps.push(Step::Finish { pick: 0 });
        steps.push(Step::Run { ms: 200 });
        steps.push(Step::Arrive { node: 0, adapter: 1 });
        let mut world = run_steps(mode, &steps);
        while world.unloads_in_flight() == 0 {
            world.apply(Step::RunMillis { rounds: 1 });
        }
        world.apply(Step::Delay { pick: 0 });
        world.apply(Step::SetPreferred { node: 0, preferred: false });
        world.apply(Step::RunMillis { rounds: 5 });
        world.apply(Step::SetPreferred { node: 1, preferred: true });
        for _ in 0..200 {
            world.apply(Step::RunMillis { rounds: 1 });
            if world.engine.running.is_empty() {
                world.apply(Step::Arrive { node: 1, adapter: 0 });
            }
        }
        for pick in 0..20 {
            world.apply(Step::Deliver { pick });
        }
        assert_eq!(world.violations(), Vec::<String>::new(), "{mode:?}");
    }
}

/// A restarted engine has forgotten its highest fencing number; the owner must remember its own.
#[test]
fn a_late_unload_from_before_a_restart_evicts_nothing() {
    let mut steps = Vec::new();
    for node in [0, 1, 2, 0] {
        steps.push(Step::PreferOnly { node });
        steps.push(Step::Run { ms: 10_000 });
    }
    steps.push(Step::Arrive { node: 0, adapter: 0 });
    steps.push(Step::Run { ms: 500 });
    steps.push(Step::Finish { pick: 0 });
    steps.push(Step::Run { ms: 200 });
    steps.push(Step::Arrive { node: 0, adapter: 1 });
    let mut world = run_steps(FencingMode::Refuse, &steps);
    while world.unloads_in_flight() == 0 {
        world.apply(Step::RunMillis { rounds: 1 });
    }
    world.apply(Step::Delay { pick: 0 });
    world.apply(Step::RestartEngine);
    world.apply(Step::Run { ms: 4_000 });
    world.apply(Step::Finish { pick: 0 });
    world.apply(Step::Run { ms: 500 });
    world.apply(Step::Arrive { node: 0, adapter: 0 });
    world.apply(Step::Run { ms: 2_000 });
    for pick in 0..20 {
        world.apply(Step::Deliver { pick });
    }
    assert_eq!(world.violations(), Vec::<String>::new());
}

/// Found by a run of 9,872 fresh cases: the engine restarted and forgot its highest fencing number,
/// and the new owner chose a lower one than its predecessor, whose unload was still in flight.
#[test]
fn a_late_unload_of_an_earlier_owner_is_refused_also_after_a_restart_of_the_engine() {
    let mut delayed_unloads = 0;
    for (first, second) in [(0, 1), (1, 0), (0, 4), (4, 0), (2, 3), (3, 2)] {
        for rounds in 0..30 {
            let mut steps = vec![Step::PreferOnly { node: first }, Step::Run { ms: 20_000 }];
            steps.extend([Step::Request { adapter: 0 }, Step::Run { ms: 2_000 }]);
            steps.extend([Step::Finish { pick: 0 }, Step::Run { ms: 2_000 }]);
            steps.extend([Step::Request { adapter: 1 }, Step::RunMillis { rounds }]);
            steps.extend([Step::Flush { node: first }, Step::Delay { pick: 0 }]);
            let before = run_steps(FencingMode::Refuse, &steps);
            delayed_unloads += usize::from(before.delays_unload());
            steps.extend([Step::PreferOnly { node: second }, Step::RestartEngine]);
            steps.push(Step::Run { ms: 20_000 });
            steps.extend([Step::Request { adapter: 0 }, Step::Run { ms: 2_000 }]);
            for pick in 0..4 {
                let mut steps = steps.clone();
                steps.push(Step::Deliver { pick });
                run_steps(FencingMode::Refuse, &steps);
            }
        }
    }
    assert!(delayed_unloads > 0, "no case delayed an unload");
}

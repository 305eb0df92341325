//! Focused cases, and what longer runs found.

use tamaracklead::wire::listing::FencingMode;

use crate::step::NODES;
use crate::step::Step;
use crate::world::World;

fn play(mode: FencingMode, steps: &[Step]) -> World {
    let mut world = World::new(mode);
    for step in steps {
        world.apply(*step);
        assert_eq!(world.violations(), Vec::<String>::new(), "after {step:?}");
    }
    world
}

fn request_after_takeover() -> Vec<Step> {
    vec![
        Step::Want { node: 0, wanted: true },
        Step::Run { ms: 20_000 },
        Step::Arrive { node: 0, adapter: 0 },
        Step::Run { ms: 500 },
    ]
}

#[test]
fn a_preferred_owner_gets_to_serve() {
    for mode in [FencingMode::Refuse, FencingMode::Ignore] {
        let world = play(mode, &request_after_takeover());
        assert_eq!(world.engine.ran.len(), 1, "{mode:?}");
    }
}

#[test]
fn another_instance_serves_after_the_owner_was_killed() {
    for mode in [FencingMode::Refuse, FencingMode::Ignore] {
        let mut steps = request_after_takeover();
        steps.push(Step::Kill { node: 0 });
        steps.push(Step::Finish { pick: 0 });
        steps.push(Step::Want { node: 1, wanted: true });
        steps.push(Step::Run { ms: 20_000 });
        steps.extend((0..NODES).map(|node| Step::Arrive { node, adapter: 1 }));
        steps.push(Step::Run { ms: 500 });
        let world = play(mode, &steps);
        assert_eq!(world.engine.ran.len(), 2, "{mode:?}");
    }
}

#[test]
fn a_frozen_owner_that_wakes_sends_nothing() {
    for mode in [FencingMode::Refuse, FencingMode::Ignore] {
        let mut steps = request_after_takeover();
        steps.push(Step::Arrive { node: 0, adapter: 0 });
        steps.push(Step::Freeze { node: 0 });
        steps.push(Step::Want { node: 1, wanted: true });
        steps.push(Step::Run { ms: 20_000 });
        steps.push(Step::Thaw { node: 0 });
        steps.push(Step::Flush { node: 0 });
        steps.push(Step::Run { ms: 1_000 });
        let world = play(mode, &steps);
        assert_eq!(world.engine.ran.len(), 1, "{mode:?}");
    }
}

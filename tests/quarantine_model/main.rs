//! Stateful fuzz test of quarantine: poison requests at any instance, messages late or lost.
//!
//! It guards against a request that ends more than two engines, and a harmless one that is refused
//! although fewer than two crashes caught it.
//!
//! `TAMARACKLEAD_FUZZ_CASES=N` runs N cases from fresh seeds instead of the fixed ones.

mod world;

use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use crate::world::FIRST_ENGINE;
use crate::world::OWNERS;
use crate::world::PROMPTS;
use crate::world::Step;
use crate::world::World;

const FIXED_CASES: u32 = 1000;
const FIXED_SEED: u64 = 20_261_203;

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(()).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Self::Transition> {
        let engine = || 0..OWNERS;
        prop_oneof![
            4 => (engine(), 0..PROMPTS).prop_map(|(engine, prompt)| Step::Send { engine, prompt }),
            3 => engine().prop_map(|engine| Step::Crash { engine }),
            2 => (engine(), 0..8usize).prop_map(|(engine, pick)| Step::Finish { engine, pick }),
            8 => (0..64usize).prop_map(|pick| Step::Deliver { pick }),
            4 => (0..64usize).prop_map(|pick| Step::Lose { pick }),
        ]
        .boxed()
    }

    fn apply((): Self::State, _: &Self::Transition) -> Self::State {}
}

struct Quarantine;

impl StateMachineTest for Quarantine {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }
}

fn config() -> ProptestConfig {
    let cases = std::env::var("TAMARACKLEAD_FUZZ_CASES").ok();
    let cases = cases.map(|text| text.parse().expect("TAMARACKLEAD_FUZZ_CASES is a number"));
    ProptestConfig {
        cases: cases.unwrap_or(FIXED_CASES),
        rng_seed: if cases.is_some() { RngSeed::Random } else { RngSeed::Fixed(FIXED_SEED) },
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn a_request_ends_at_most_two_engines_and_no_harmless_one_is_refused(
        sequential 1..300 => Quarantine
    );
}

/// The owner of the first engine requested a permit while it still ran a copy without one.
#[test]
fn a_permit_is_not_granted_while_the_first_engine_runs_a_copy() {
    let mut world = World::new();
    let steps = [
        Step::Send { engine: 1, prompt: 1 },
        Step::Deliver { pick: 0 },
        Step::Deliver { pick: 0 },
        Step::Send { engine: FIRST_ENGINE, prompt: 1 },
        Step::Crash { engine: 1 },
        Step::Deliver { pick: 0 },
        Step::Send { engine: FIRST_ENGINE, prompt: 1 },
        Step::Deliver { pick: 4 },
        Step::Deliver { pick: 4 },
        Step::Deliver { pick: 4 },
        Step::Deliver { pick: 4 },
        Step::Crash { engine: FIRST_ENGINE },
        Step::Deliver { pick: 4 },
        Step::Crash { engine: FIRST_ENGINE },
    ];
    for step in steps {
        world.apply(step);
        world.check();
    }
    assert_eq!(world.engines_lost.get(&1), Some(&2));
}

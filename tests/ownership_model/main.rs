//! Ownership under faults, against an oracle of what the engine and the callers saw.
//!
//! `TAMARACKLEAD_FUZZ_CASES=N` runs N cases from fresh seeds instead of the fixed ones.

mod engine;
mod message;
mod node;
mod regressions;
mod step;
mod world;

use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use tamaracklead::wire::listing::FencingMode;

use crate::step::Step;
use crate::step::any_step;
use crate::world::World;

const FIXED_CASES: u32 = 250;
const FIXED_SEED: u64 = 20_261_203;

fn config() -> ProptestConfig {
    let cases = std::env::var("TAMARACKLEAD_FUZZ_CASES").ok();
    let cases = cases.map(|text| text.parse().expect("TAMARACKLEAD_FUZZ_CASES is a number"));
    ProptestConfig {
        cases: cases.unwrap_or(FIXED_CASES),
        rng_seed: if cases.is_some() { RngSeed::Random } else { RngSeed::Fixed(FIXED_SEED) },
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..ProptestConfig::default()
    }
}

/// Any step at any time.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(()).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Self::Transition> {
        any_step()
    }

    fn apply((): Self::State, _: &Self::Transition) -> Self::State {}
}

/// An engine whose first owner has taken it over.
fn owned_engine(mode: FencingMode) -> World {
    let mut world = World::new(mode);
    world.apply(Step::HandOver { node: 0 });
    world.apply(Step::Run { ms: 16_000 });
    world
}

/// The engine refuses old fencing numbers: messages to it may take any time.
struct Refusing;

/// The engine ignores fencing: clocks and the travel bound hold.
struct Ignoring;

fn check(world: &World) {
    let violations = world.violations();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

impl StateMachineTest for Refusing {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        owned_engine(FencingMode::Refuse)
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        check(world);
    }
}

impl StateMachineTest for Ignoring {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        owned_engine(FencingMode::Ignore)
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        check(world);
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn a_fenced_engine_never_evicts_running_work(sequential 100..400 => Refusing);

    #[test]
    fn an_unfenced_engine_never_evicts_running_work(sequential 100..400 => Ignoring);
}

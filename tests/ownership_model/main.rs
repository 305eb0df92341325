//! Stateful fuzz test of ownership: instances, a faulty network and one engine, against an oracle.
//!
//! It guards against an adapter that is evicted under a running request, a request that runs twice
//! or after an answer of "not run", and two instances that may use an unfenced engine at once.
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

/// Reference machine without a state: any step may follow any other.
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

/// A world in which the first instance has taken the engine over.
fn owned_engine(mode: FencingMode) -> World {
    let mut world = World::new(mode);
    world.apply(Step::PreferOnly { node: 0 });
    world.apply(Step::Run { ms: 16_000 });
    world
}

/// The engine refuses old fencing numbers, so messages to it may take any time.
struct RefuseOldFencing;

/// The engine ignores fencing, so safety depends on clock rates and the bound on message delay.
struct IgnoreFencing;

fn assert_no_violations(world: &World) {
    let violations = world.violations();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

impl StateMachineTest for RefuseOldFencing {
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
        assert_no_violations(world);
    }
}

impl StateMachineTest for IgnoreFencing {
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
        assert_no_violations(world);
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn a_fenced_engine_never_evicts_running_work(sequential 100..400 => RefuseOldFencing);

    #[test]
    fn an_unfenced_engine_never_evicts_running_work(sequential 100..400 => IgnoreFencing);
}

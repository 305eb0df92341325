//! Adapter to the fuzzer; the oracle in the world takes the place of a reference state.

use proptest::strategy::BoxedStrategy;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::step::Step;
use crate::step::any_step;
use crate::world::World;

/// Reference machine without a state: each step names its target by an index.
pub struct AnySteps;

impl ReferenceStateMachine for AnySteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        any_step()
    }

    fn apply((): (), _: &Step) {}
}

pub struct SubmissionMachine;

impl StateMachineTest for SubmissionMachine {
    type SystemUnderTest = World;
    type Reference = AnySteps;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.oracle.check();
    }

    fn teardown(mut world: World, (): ()) {
        world.settle();
        world.oracle.check();
        world.oracle.check_answered();
    }
}

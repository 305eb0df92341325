//! Property test: random faults in a simulated fleet, checked by the fixture's oracle.

mod fleet;

use fleet::SECOND;
use fleet::World;
use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use tamaracklead::wire::listing::ListedState;

const CASES: u32 = 48;
const MAX_STEPS: usize = 24;
const SEED: u8 = 7;
const CASES_VARIABLE: &str = "TAMARACKLEAD_FUZZ_CASES";

#[derive(Clone, Debug)]
enum Step {
    Publish { raced: bool },
    ShowOlder { back: usize },
    Service { down: bool },
    Pages { missing: bool, damaged: bool },
    Kill { node: usize },
    Restart { node: usize },
    RestartAllBut { node: usize },
    Freeze { node: usize, tenths: u64 },
    Partition { mask: u8 },
    Heal,
    Links { loss: u32, duplicates: u32 },
    List { lagging: bool, down: bool },
    ListLeaving,
    ReportLeaving { node: usize },
    ReplaceBackend,
    Run { tenths: u64 },
    Settle,
}

/// Model state that generates the steps: sizes and numbers, nothing that instances know.
#[derive(Clone, Debug)]
struct Plan {
    size: usize,
    seed: u64,
    generation: u64,
    backend: u64,
}

impl ReferenceStateMachine for Plan {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        // Steps refer to instances by index, so shrinking must not change the fleet's size.
        (1_usize..7, any::<u64>())
            .no_shrink()
            .prop_map(|(size, seed)| Self { size, seed, generation: 1, backend: 1 })
            .boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let node = 0..state.size;
        prop_oneof![
            4 => any::<bool>().prop_map(|raced| Step::Publish { raced }),
            2 => (0_usize..4).prop_map(|back| Step::ShowOlder { back }),
            2 => any::<bool>().prop_map(|down| Step::Service { down }),
            1 => any::<(bool, bool)>()
                .prop_map(|(missing, damaged)| Step::Pages { missing, damaged }),
            2 => node.clone().prop_map(|node| Step::Kill { node }),
            3 => node.clone().prop_map(|node| Step::Restart { node }),
            1 => node.clone().prop_map(|node| Step::RestartAllBut { node }),
            2 => (node.clone(), 1_u64..200)
                .prop_map(|(node, tenths)| Step::Freeze { node, tenths }),
            2 => any::<u8>().prop_map(|mask| Step::Partition { mask }),
            2 => Just(Step::Heal),
            1 => (0_u32..6, 0_u32..10)
                .prop_map(|(loss, duplicates)| Step::Links { loss, duplicates }),
            1 => any::<(bool, bool)>().prop_map(|(lagging, down)| Step::List { lagging, down }),
            2 => Just(Step::ListLeaving),
            1 => node.prop_map(|node| Step::ReportLeaving { node }),
            1 => Just(Step::ReplaceBackend),
            8 => (1_u64..100).prop_map(|tenths| Step::Run { tenths }),
            2 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Publish { raced: false } => state.generation += 1,
            Step::ReplaceBackend => state.backend += 1,
            _ => {}
        }
        state
    }
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = World;
    type Reference = Plan;

    fn init_test(plan: &Plan) -> World {
        World::new(plan.size, 3, plan.seed)
    }

    fn apply(mut world: World, plan: &Plan, step: Step) -> World {
        match step {
            Step::Publish { .. } => {
                let variant = world.platform.service.history.len() as u64;
                world.publish(plan.generation, variant);
            }
            Step::ShowOlder { back } => {
                let last = world.platform.service.history.len() - 1;
                world.platform.service.shown = last.saturating_sub(back);
            }
            Step::Service { down } => world.platform.service.down = down,
            Step::Pages { missing, damaged } => {
                world.platform.service.page_missing = missing;
                world.platform.service.page_damaged = damaged;
            }
            Step::Kill { node } => world.kill(node),
            Step::Restart { node } => world.restart(node),
            Step::RestartAllBut { node } => {
                for other in (0..plan.size).filter(|other| *other != node) {
                    world.restart(other);
                }
            }
            Step::Freeze { node, tenths } => world.freeze(node, tenths * SECOND / 10),
            Step::Partition { mask } => {
                let groups: Vec<u8> = (0..plan.size).map(|node| mask >> node & 1).collect();
                world.partition(&groups);
            }
            Step::Heal => world.heal(),
            Step::Links { loss, duplicates } => {
                world.loss_percent = loss;
                world.duplicate_percent = duplicates;
            }
            Step::List { lagging, down } => {
                world.platform.lagging = lagging;
                world.platform.set_list_down(world.now, down);
                world.platform.refresh();
            }
            Step::ListLeaving => world.set_backend(plan.backend, ListedState::Leaving),
            Step::ReportLeaving { node } => world.report_leaving(node, plan.backend),
            Step::ReplaceBackend => world.set_backend(plan.backend, ListedState::Live),
            Step::Run { tenths } => world.run(tenths * SECOND / 10),
            Step::Settle => {
                world.settle();
                world.check_settled();
            }
        }
        world
    }

    fn teardown(mut world: World, _: Plan) {
        world.settle();
        world.check_settled();
    }
}

fn run_cases(config: &Config, rng: TestRng) {
    let strategy = Plan::sequential_strategy(1..MAX_STEPS);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let outcome = runner.run(&strategy, |(plan, steps, seen)| {
        FleetTest::test_sequential(config.clone(), plan, steps, seen);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}

fn config(cases: u32) -> Config {
    Config { cases, failure_persistence: None, max_shrink_iters: 400, ..Config::default() }
}

#[test]
fn random_faults_never_violate_the_invariants() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[SEED; 32]);
    run_cases(&config(CASES), rng);
}

/// Runs only if the variable sets the number of cases; each run draws and prints a fresh seed.
#[test]
fn freshly_seeded_random_faults_never_violate_the_invariants() {
    let cases = std::env::var(CASES_VARIABLE).ok().and_then(|text| text.parse().ok());
    let Some(cases) = cases else { return };
    let seed: [u8; 32] = std::array::from_fn(|_| rand::random());
    println!("{CASES_VARIABLE}={cases} seed={seed:?}");
    run_cases(&config(cases), TestRng::from_seed(RngAlgorithm::ChaCha, &seed));
}

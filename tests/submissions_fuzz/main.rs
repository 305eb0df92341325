//! Stateful fuzz test of submissions: several issuers on a faulty network, against an oracle.
//!
//! It guards against a submission that runs twice, a false answer of "not run" or a false receipt,
//! and a caller that never gets an answer.
//!
//! Runs with a fixed seed. `TAMARACKLEAD_FUZZ_CASES=N` runs N cases with a fresh
//! seed, which is printed; `TAMARACKLEAD_FUZZ_SEED` repeats it.

mod machine;
mod message;
mod node;
mod oracle;
mod step;
mod submit;
mod world;

use std::sync::OnceLock;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::prop_state_machine;

use crate::machine::SubmissionMachine;

const CI_SEED: u64 = 20_261_203;
const CI_CASES: u32 = 400;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// The seed of this run; drawn once, because the macro asks for each case.
fn seed() -> u64 {
    static SEED: OnceLock<u64> = OnceLock::new();
    *SEED.get_or_init(|| {
        let is_long_run = number("TAMARACKLEAD_FUZZ_CASES").is_some();
        let fresh = is_long_run.then(rand::random);
        let seed = number("TAMARACKLEAD_FUZZ_SEED").or(fresh).unwrap_or(CI_SEED);
        eprintln!("seed {seed}");
        seed
    })
}

fn config() -> Config {
    let cases = number("TAMARACKLEAD_FUZZ_CASES");
    Config {
        cases: cases.map_or(CI_CASES, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(seed()),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn submissions_run_at_most_once_and_answers_are_true(
        sequential 20..160 => SubmissionMachine
    );
}

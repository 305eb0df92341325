//! Seeded model of a fleet whose replicas crash under one part of the prompts.
//!
//! Runs with fixed seeds. `TAMARACKLEAD_FUZZ_CASES=N` runs N cases from a fresh seed on, which is
//! printed; `TAMARACKLEAD_FUZZ_SEED` repeats it.

mod gossip;
mod instance;
mod plan;
mod prompt;
mod record;
mod request;
mod troubles;
mod world;

use std::ops::Range;

use crate::prompt_storm::plan::Plan;
use crate::prompt_storm::record::Record;
use crate::prompt_storm::world::World;

const CI_SEED: u64 = 0;
const CI_CASES: u64 = 22;
/// Run in which an instance is killed while its crashing requests are under way.
const KILLED_SENDER_SEED: u64 = 130;
/// Lines of the trace that a failure shows.
const SHOWN_LINES: usize = 120;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn seeds() -> Range<u64> {
    let cases = number("TAMARACKLEAD_FUZZ_CASES");
    let fresh = cases.map(|_| u64::from(rand::random::<u32>()));
    let first = number("TAMARACKLEAD_FUZZ_SEED").or(fresh).unwrap_or(CI_SEED);
    first..first + cases.unwrap_or(CI_CASES)
}

fn play(plan: Plan) -> Record {
    let mut world = World::new(plan);
    world.run();
    world.record.check();
    world.record
}

/// Runs all seeds; shows the trace of the shortest failing run.
fn check(plan: impl Fn(u64) -> Plan) {
    let mut failed: Vec<(Plan, Record)> = Vec::new();
    for seed in seeds() {
        let plan = plan(seed);
        let record = play(plan.clone());
        if number("TAMARACKLEAD_FUZZ_SIZES").is_some() {
            let bytes = record.bytes;
            eprintln!("seed {seed}, {} instances: {bytes:?}", plan.instances);
        }
        if !record.faults.is_empty() {
            eprintln!("seed {seed}, {} instances: {:?}", plan.instances, record.faults);
            failed.push((plan, record));
        }
    }
    let Some((plan, record)) = failed.iter().min_by_key(|(_, r)| r.trace.len()) else { return };
    eprintln!("{plan:?}");
    for line in record.trace.iter().take(SHOWN_LINES) {
        eprintln!("{line}");
    }
    panic!("{} of the runs failed, seed {}: {:?}", failed.len(), plan.seed, record.faults);
}

/// Guards against requests with a crashing part that go on reaching replicas, and against sound
/// ones that are refused with them.
#[test]
fn a_crashing_part_soon_reaches_no_replica_and_sound_requests_go_on() {
    check(Plan::draw);
}

/// Guards against a part that stays quarantined since it began at crashes of requests whose instance
/// was killed, so that nobody knows the culprit of these.
#[test]
fn a_bystander_is_released_although_the_instance_of_the_crashing_requests_was_killed() {
    let record = play(Plan::draw(KILLED_SENDER_SEED));
    assert!(record.faults.is_empty(), "{:?}", record.faults);
}

/// Guards against a quarantine that other troubles cause.
#[test]
fn no_part_stays_quarantined_when_replicas_crash_for_other_reasons() {
    check(|seed| Plan::draw(seed).without_bad_parts());
}

//! Freshness of the configuration: the decisions of one instance, and fleets in virtual time.
//!
//! `CONFIG_FRESHNESS_CASES=1000 cargo test --test config_freshness` runs more cases of the model.

mod decisions;
mod delivery;
mod instance;
mod judge;
mod message;
mod plan;
mod store;
mod world;

use std::env;

use plan::Plan;
use world::Fault;
use world::Report;
use world::World;

/// Cases of the model in CI; the environment may ask for more.
const CASES: u64 = 36;
/// Seeds that a faulty model is given to be noticed.
const FAULT_SEEDS: u64 = 40;
/// Most calls a second to the store for the operator's items in a fleet of 63 without trouble: five
/// readers with polls of half a second make 10.
const MAX_CALLS_PER_S: f64 = 14.0;

fn cases() -> u64 {
    env::var("CONFIG_FRESHNESS_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(CASES)
}

fn run(plan: Plan, fault: Option<Fault>) -> Report {
    World::new(plan, fault).run()
}

/// Guards against a key that is accepted for longer than the revocation limit, a 401 for a key that
/// was published longer ago than the propagation limit, and instances in touch that refuse keys.
#[test]
fn random_fleets_keep_both_limits() {
    for seed in 0..cases() {
        let instances = if seed % 4 == 3 { 63 } else { 9 };
        let report = run(Plan::random(seed, instances), None);
        assert!(report.faults.is_empty(), "seed {seed}, {instances}: {:#?}", report.faults);
    }
}

/// Guards against a model that passes whatever the instances do.
#[test]
fn the_model_notices_faulty_instances() {
    let all = [
        Fault::CountsFromArrival,
        Fault::TrustsUnaskedMessages,
        Fault::IgnoresPauses,
        Fault::IgnoresHigherVersions,
    ];
    for fault in all {
        let caught = (0..FAULT_SEEDS)
            .filter(|seed| !run(Plan::random(*seed, 9), Some(fault)).faults.is_empty());
        let count = caught.count();
        println!("{fault:?}: noticed with {count} of {FAULT_SEEDS} seeds");
        assert!(count > 0, "{fault:?} isn't noticed");
    }
}

/// Guards against an instance that is refused the store and refuses keys, although its peers read it.
#[test]
fn instances_that_are_cut_off_from_only_the_store_accept_keys() {
    for instances in [9, 63] {
        for seed in 0..4 {
            let report = run(Plan::cut_from_store(seed, instances), None);
            assert!(report.faults.is_empty(), "seed {seed}, {instances}: {:#?}", report.faults);
        }
    }
}

/// Guards against instances that all read the store although peers pass its state on.
#[test]
fn a_fleet_without_trouble_reads_the_store_by_a_few_instances() {
    for instances in [9, 63] {
        let report = run(Plan::calm(instances), None);
        assert!(report.faults.is_empty(), "{instances}: {:#?}", report.faults);
        println!("{instances}: {:.1} calls/s, {:.4} current", report.calls_per_s, report.current);
        assert!(report.calls_per_s <= MAX_CALLS_PER_S, "{instances}: {}", report.calls_per_s);
        assert!(report.current >= 0.99, "{instances}: {} of the time", report.current);
    }
}

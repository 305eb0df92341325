//! Failures of instances, and changes of limits.

use tamaracklead::decide::quotas::QuotaGroup;

use crate::account_load::AccountLoad;
use crate::judge::Report;
use crate::plan::Failure;
use crate::plan::Plan;
use crate::world::World;

/// Time of a failure, in ms.
const AT_MS: u64 = 10_000;
/// Time after a change from which on admitted parts count, in ms.
const SETTLE_MS: u64 = 3_000;
/// Instances, and the load in terms of the usual one.
const SIZES: [(usize, f64); 3] = [(9, 1.0), (63, 1.0), (420, 4_100.0 / 420.0)];

/// Plans with the usual load and one account that surges around the failure, on all sizes.
fn plans(seed: u64, failures: impl Fn(&Plan) -> Vec<Failure>) -> Vec<Plan> {
    let mut plans = Vec::new();
    for (number, (instances, scale)) in SIZES.into_iter().enumerate() {
        for (variant, spots) in [0, 3].into_iter().enumerate() {
            let seed = seed + 2 * number as u64 + variant as u64;
            let mut loads = AccountLoad::deployment(scale);
            loads.iter_mut().for_each(|load| load.spots = spots);
            loads[15 - seed as usize % 5].surge = Some((AT_MS - 3_000, AT_MS + 6_500, 7.5));
            let mut plan = Plan::new(seed, instances, loads);
            plan.failures = failures(&plan);
            plans.push(plan);
        }
    }
    plans
}

/// Runs a plan, checks its windows, and returns the part that accounts without a surge were admitted
/// from 3 s after a change on.
fn run(plan: Plan, changed_ms: u64) -> (Report, f64) {
    let spots = plan.loads[0].spots;
    let report = World::run(plan);
    let worst = report.check_windows();
    let is_usual = |account: usize| report.plan.loads[account].surge.is_none();
    let admitted = report.admitted(is_usual, changed_ms + SETTLE_MS, report.plan.run_ms - 1_000);
    println!("{}; admitted {admitted:.4}, window {worst:.3}", report.summary());
    let least = if spots == 0 { 0.98 } else { 0.95 };
    assert!(admitted >= least, "admitted {admitted:.4}; {}", report.summary());
    (report, admitted)
}

fn counting(plan: &Plan) -> usize {
    World::first_counting(plan, QuotaGroup::all().next().unwrap())
}

#[test]
fn a_killed_counting_instance_is_replaced() {
    for plan in plans(100, |plan| vec![Failure::Killed { instance: counting(plan), at: AT_MS }]) {
        run(plan, AT_MS);
    }
}

#[test]
fn a_counting_instance_that_was_paused_begins_anew() {
    for pause_ms in [1_200, 5_000] {
        let failure = |plan: &Plan| {
            let until = AT_MS + pause_ms;
            vec![Failure::Paused { instance: counting(plan), from: AT_MS, until }]
        };
        for plan in plans(200, failure) {
            run(plan, AT_MS + pause_ms);
        }
    }
}

#[test]
fn loans_of_a_killed_instance_are_not_lent_twice() {
    let failure = |plan: &Plan| {
        let instance = (counting(plan) + 1) % plan.instances;
        vec![Failure::Killed { instance, at: AT_MS }]
    };
    for plan in plans(300, failure) {
        run(plan, AT_MS);
    }
}

#[test]
fn both_sides_of_a_partition_keep_the_limit_together() {
    let until = AT_MS + 9_000;
    for plan in plans(400, |_| vec![Failure::ThirdCutOff { from: AT_MS, until }]) {
        run(plan, until);
    }
}

#[test]
fn instances_that_start_all_at_once_keep_the_limit() {
    for plan in plans(500, |_| vec![Failure::AllRestarted { at: AT_MS, down_ms: 300 }]) {
        // Instances know the fleet, and lend, from 1.5 s after their start on.
        run(plan, AT_MS + 1_800);
    }
}

#[test]
fn a_lowered_limit_holds_from_when_it_is_known() {
    for mut plan in plans(600, |_| Vec::new()) {
        plan.limits_change = Some((AT_MS, 0.1));
        World::run(plan).check_windows();
    }
}

#[test]
fn a_raised_limit_takes_effect_at_once() {
    for mut plan in plans(700, |_| Vec::new()) {
        plan.limits_change = Some((AT_MS, 2.0));
        run(plan, AT_MS);
    }
}

#[test]
fn views_that_differ_for_two_seconds_keep_the_limit() {
    // The second kill hits the instance that counts after the first.
    let failure = |plan: &Plan| {
        let first = counting(plan);
        let second = World::counting_after(plan, QuotaGroup::all().next().unwrap(), first);
        vec![
            Failure::Killed { instance: first, at: AT_MS },
            Failure::Paused { instance: second, from: AT_MS + 2_500, until: AT_MS + 4_500 },
        ]
    };
    for plan in plans(800, failure) {
        run(plan, AT_MS + 4_500);
    }
}

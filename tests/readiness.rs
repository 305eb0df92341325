//! What an instance lacks to be ready, and when that changes.

use std::time::Duration;

use tamaracklead::decide::readiness::AcceptHealth;
use tamaracklead::decide::readiness::Missing;
use tamaracklead::decide::readiness::Readiness;
use tamaracklead::names::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Guards against a log that doesn't tell what an instance waited for until it was ready.
#[test]
fn each_change_names_what_is_missing_what_was_and_for_how_long() {
    let mut readiness = Readiness::new(at(100));
    let first = readiness.on_check(at(100), vec![Missing::Config, Missing::Replicas]).unwrap();
    assert_eq!(first.missing, [Missing::Config, Missing::Replicas]);
    assert_eq!((first.before, first.lasted), (None, Duration::ZERO));
    let second = readiness.on_check(at(400), vec![Missing::Replicas]).unwrap();
    assert_eq!(second.before.as_deref(), Some(&[Missing::Config, Missing::Replicas][..]));
    assert_eq!(second.lasted, Duration::from_millis(300));
    let ready = readiness.on_check(at(3100), Vec::new()).unwrap();
    assert_eq!((ready.missing, ready.lasted), (Vec::new(), Duration::from_millis(2700)));
}

/// Guards against a line for each check.
#[test]
fn a_check_without_a_change_is_none() {
    let mut readiness = Readiness::new(at(0));
    assert!(readiness.on_check(at(10), Vec::new()).is_some());
    assert!(readiness.on_check(at(20), Vec::new()).is_none());
    assert!(readiness.on_check(at(30), vec![Missing::Contact]).is_some());
    assert!(readiness.on_check(at(40), vec![Missing::Contact]).is_none());
    let ready = readiness.on_check(at(50), Vec::new()).unwrap();
    assert_eq!(ready.lasted, Duration::from_millis(20));
}

/// Guards against an instance that counts as ready while it accepts nobody.
#[test]
fn accepts_that_fail_for_a_second_send_callers_elsewhere() {
    let mut health = AcceptHealth::default();
    for ms in (100..1100).step_by(20) {
        health.on_failed(at(ms));
        assert!(!health.is_failing(at(ms)), "{ms}");
    }
    health.on_failed(at(1100));
    assert!(health.is_failing(at(1100)));
    health.on_accepted();
    assert!(!health.is_failing(at(1101)));
}

/// Guards against an instance that never counts as ready again, as callers keep away and so none is accepted.
#[test]
fn an_instance_is_ready_again_once_no_connection_waits() {
    let mut health = AcceptHealth::default();
    for ms in (100..3000).step_by(20) {
        health.on_failed(at(ms));
    }
    assert!(!health.is_failing(at(4000)));
    health.on_failed(at(5000));
    assert!(!health.is_failing(at(5000)));
}

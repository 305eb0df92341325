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

/// Guards against a log whose only line on an instance that isn't ready is the first one.
#[test]
fn what_is_missing_is_logged_again_at_growing_intervals() {
    let mut readiness = Readiness::new(at(0));
    let mut lines = Vec::new();
    for tenth in 0..7000 {
        let now = at(tenth * 100);
        readiness.on_check(now, vec![if tenth < 50 { Missing::Config } else { Missing::Replicas }]);
        if readiness.take_due_line(now) {
            lines.push(tenth);
        }
    }
    assert_eq!(lines, [30, 130, 730, 6730]);
    assert!(!readiness.was_ready());
    readiness.on_check(at(800_000), Vec::new());
    assert!(!readiness.take_due_line(at(9_000_000)));
    assert!(readiness.was_ready());
    readiness.on_check(at(9_000_000), vec![Missing::Contact]);
    assert!(!readiness.take_due_line(at(9_002_900)));
    assert!(readiness.take_due_line(at(9_003_000)));
}

/// Guards against an answer that tells since when something else was missing.
#[test]
fn each_lack_has_its_own_beginning() {
    let mut readiness = Readiness::new(at(0));
    readiness.on_check(at(100), vec![Missing::Join, Missing::Replicas]);
    readiness.on_check(at(1500), vec![Missing::Config, Missing::Replicas]);
    let missing = [Missing::Config, Missing::Replicas, Missing::Contact];
    let described = readiness.describe(at(2000), &missing);
    let times: Vec<(Missing, u64)> = described.iter().map(|m| (m.what, m.missing_ms)).collect();
    let expected = [(Missing::Config, 500), (Missing::Replicas, 1900), (Missing::Contact, 0)];
    assert_eq!(times, expected);
    assert_eq!(readiness.unready_for(at(2000)), Some(Duration::from_millis(2000)));
    readiness.on_check(at(2100), Vec::new());
    assert_eq!(readiness.unready_for(at(2200)), None);
}

/// Guards against a metric that names a lack in another way than the log does.
#[test]
fn a_lack_has_one_name_everywhere() {
    for what in Missing::ALL {
        assert_eq!(serde_json::to_value(what).unwrap(), what.name());
    }
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

//! When an owner without a report of a replica is asked again.

use std::time::Duration;

use tamaracklead::decide::traffic::FirstReport;

use crate::support::at;

const LEASE: Duration = Duration::from_millis(3500);

/// Guards against callers that are sent away for a whole lease, as the owner hasn't read yet that the
/// replica holds their adapter.
#[test]
fn an_owner_without_a_report_is_asked_again_soon() {
    let report = FirstReport::Missing { since: at(100) };
    for ms in [100, 200, 450] {
        let wait = report.ask_again_in(at(ms), Some(LEASE)).unwrap();
        assert!(wait < Duration::from_millis(200), "{wait:?}");
    }
    assert_eq!(report.ask_again_in(at(200), Some(Duration::ZERO)), Some(Duration::ZERO));
}

/// Guards against requests that wait for a replica whose reports don't come.
#[test]
fn a_report_that_does_not_come_is_not_awaited_for_long() {
    let report = FirstReport::Missing { since: at(100) };
    assert_eq!(report.ask_again_in(at(1100), Some(LEASE)), Some(LEASE));
}

/// Guards against short times where the report has shown that a load is needed, or no owner knows.
#[test]
fn after_a_report_the_time_until_orders_counts() {
    assert_eq!(FirstReport::Read.ask_again_in(at(150), Some(LEASE)), Some(LEASE));
    let missing = FirstReport::Missing { since: at(100) };
    assert_eq!(missing.ask_again_in(at(150), None), None);
}

//! Whether a step of a start that failed is tried again.

use std::time::Duration;

use tamaracklead::decide::start_wait::AfterFailure;
use tamaracklead::decide::start_wait::StartFailure;
use tamaracklead::decide::start_wait::StartWait;
use tamaracklead::names::Timestamp;

const LIMIT: Duration = Duration::from_secs(10);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Guards against a start that gives up while its predecessor may still shut down.
#[test]
fn a_temporary_failure_is_tried_again_until_the_limit() {
    let mut wait = StartWait::new(at(500), LIMIT);
    for ms in [500, 501, 5_000, 10_499] {
        let after = wait.on_failure(at(ms), StartFailure::Temporary);
        assert!(matches!(after, AfterFailure::TryAgain(delay) if !delay.is_zero()), "{ms}");
    }
}

/// Guards against a start that waits without an end.
#[test]
fn a_temporary_failure_ends_the_start_at_the_limit() {
    let mut wait = StartWait::new(at(500), LIMIT);
    for ms in [10_500, 10_501, 1_000_000] {
        let after = wait.on_failure(at(ms), StartFailure::Temporary);
        assert_eq!(after, AfterFailure::GiveUp, "{ms}");
    }
    assert_eq!(wait.waited(at(10_500)), LIMIT);
}

/// Guards against a start that waits for something that can't come.
#[test]
fn a_permanent_failure_ends_the_start_at_once() {
    let mut wait = StartWait::new(at(500), LIMIT);
    assert_eq!(wait.on_failure(at(500), StartFailure::Permanent), AfterFailure::GiveUp);
}

/// Guards against a process that ends since what it needs comes late, and against one that gives it no time
/// once it is there.
#[test]
fn what_is_not_there_is_awaited_without_an_end() {
    let mut wait = StartWait::new(at(500), LIMIT);
    for ms in [500, 10_500, 1_000_000, 86_400_000] {
        let after = wait.on_failure(at(ms), StartFailure::NotThere);
        assert!(matches!(after, AfterFailure::TryAgain(delay) if !delay.is_zero()), "{ms}");
    }
    let after = wait.on_failure(at(86_405_000), StartFailure::Temporary);
    assert!(matches!(after, AfterFailure::TryAgain(_)));
    assert_eq!(wait.on_failure(at(86_410_000), StartFailure::Temporary), AfterFailure::GiveUp);
}

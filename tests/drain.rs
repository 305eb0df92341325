//! Guards against a graceful shutdown that accepts new work, cuts work off, or never ends.

use std::time::Duration;

use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use tamaracklead::decide::drain::Drain;
use tamaracklead::decide::drain::DrainEnd;
use tamaracklead::decide::drain::DrainInput;
use tamaracklead::decide::drain::MAX_IDLE_WAIT;
use tamaracklead::decide::drain::Progress;
use tamaracklead::decide::drain::QUIET_PERIOD;
use tamaracklead::decide::drain::WorkKind;
use tamaracklead::names::Timestamp;

const STEP: Duration = Duration::from_millis(100);

fn draining(limit: Option<Duration>) -> Drain {
    let mut drain = Drain::default();
    drain.on_input(Timestamp::ZERO, DrainInput::Requested { limit });
    drain
}

fn observe(drain: &mut Drain, now: Timestamp, in_progress: usize, caller_requests: u64) {
    drain.on_input(now, DrainInput::Observed(Progress { in_progress, caller_requests }));
}

#[test]
fn a_draining_instance_accepts_only_what_no_other_may_run() {
    let accepting = Drain::default();
    let draining = draining(None);
    let table = [
        (WorkKind::Completion, false),
        (WorkKind::Ticket, false),
        (WorkKind::OwnSubmission, true),
        (WorkKind::ForeignSubmission, true),
        (WorkKind::Dispatch, false),
    ];
    assert_eq!(table.map(|(work, _)| work), WorkKind::ALL);
    for (work, accepted) in table {
        assert!(accepting.accepts(work), "{work:?} before the shutdown");
        assert_eq!(draining.accepts(work), accepted, "{work:?} during the shutdown");
    }
}

#[test]
fn late_callers_are_answered_until_the_quiet_period_is_over() {
    let mut drain = draining(None);
    let mut now = Timestamp::ZERO;
    for caller_requests in 1..=20 {
        now = now + STEP;
        observe(&mut drain, now, 0, caller_requests);
        assert_eq!(drain.end(), None, "a request came {STEP:?} ago");
    }
    observe(&mut drain, now + QUIET_PERIOD, 0, 20);
    assert_eq!(drain.end(), Some(DrainEnd::Finished));
}

#[test]
fn the_idle_time_restarts_after_further_work() {
    let mut drain = draining(None);
    observe(&mut drain, Timestamp::from_millis(500), 0, 0);
    observe(&mut drain, Timestamp::from_millis(1_400), 1, 0);
    observe(&mut drain, Timestamp::from_millis(1_600), 0, 0);
    assert_eq!(drain.end(), None, "idle for no time at all");
    observe(&mut drain, Timestamp::from_millis(1_600) + QUIET_PERIOD, 0, 0);
    assert_eq!(drain.end(), Some(DrainEnd::Finished));
}

#[test]
fn callers_that_never_go_quiet_delay_an_idle_instance_only_for_a_limited_time() {
    let mut drain = draining(None);
    let mut now = Timestamp::ZERO;
    let mut caller_requests = 0;
    while drain.end().is_none() {
        now = now + STEP;
        caller_requests += 1;
        observe(&mut drain, now, 0, caller_requests);
        assert!(now.since(Timestamp::ZERO) <= MAX_IDLE_WAIT + STEP);
    }
    assert_eq!(drain.end(), Some(DrainEnd::Finished));
}

#[test]
fn a_second_signal_and_the_hard_limit_say_how_much_they_cut_off() {
    let mut interrupted = draining(None);
    observe(&mut interrupted, Timestamp::from_millis(10), 3, 0);
    interrupted.on_input(Timestamp::from_millis(20), DrainInput::RequestedAgain);
    assert_eq!(interrupted.end(), Some(DrainEnd::Interrupted(3)));

    let mut limited = draining(Some(Duration::from_secs(5)));
    observe(&mut limited, Timestamp::from_millis(4_999), 2, 0);
    assert_eq!(limited.end(), None);
    observe(&mut limited, Timestamp::from_millis(5_000), 2, 0);
    assert_eq!(limited.end(), Some(DrainEnd::LimitReached(2)));
}

proptest! {
    #[test]
    fn nothing_in_progress_is_cut_off_without_a_limit(
        steps in proptest::collection::vec((0usize..3, any::<bool>(), 1u64..3_000), 1..200),
    ) {
        let mut drain = draining(None);
        let mut now = Timestamp::ZERO;
        let mut caller_requests = 0;
        let mut last_in_progress = 0;
        for (in_progress, caller_came, step_ms) in steps {
            now = now + Duration::from_millis(step_ms);
            caller_requests += u64::from(caller_came);
            observe(&mut drain, now, in_progress, caller_requests);
            if let Some(end) = drain.end() {
                prop_assert_eq!(end, DrainEnd::Finished);
                prop_assert_eq!(in_progress, 0);
                prop_assert!(!caller_came || now.since(Timestamp::ZERO) >= MAX_IDLE_WAIT);
                return Ok(());
            }
            last_in_progress = in_progress;
        }
        let end = now + MAX_IDLE_WAIT;
        observe(&mut drain, end, 0, caller_requests);
        observe(&mut drain, end + QUIET_PERIOD, 0, caller_requests);
        prop_assert_eq!(drain.end(), Some(DrainEnd::Finished), "after {} in progress", last_in_progress);
    }
}

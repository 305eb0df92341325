//! Which attempts may follow one that ended.

use tamaracklead::decide::traffic::AttemptEnd;
use tamaracklead::decide::traffic::Attempts;
use tamaracklead::decide::traffic::FinalOutcome;
use tamaracklead::decide::traffic::NextAttempt;
use tamaracklead::decide::traffic::RouteKind;
use tamaracklead::names::BackendName;

const ENDS: [AttemptEnd; 4] =
    [AttemptEnd::NotSent, AttemptEnd::NotRun, AttemptEnd::MaybeRan, AttemptEnd::RanAndFailed];

fn sent(kind: RouteKind, max_runs: u32) -> Attempts {
    let mut attempts = Attempts::new(kind, max_runs);
    attempts.on_send(BackendName::new("one"));
    attempts
}

#[test]
fn a_request_that_may_have_run_is_sent_again_only_on_routes_that_allow_repeats() {
    for kind in [RouteKind::AtMostOnce, RouteKind::Stream { resumable: false }] {
        for end in [AttemptEnd::MaybeRan, AttemptEnd::RanAndFailed] {
            let next = sent(kind, 3).on_end(end);
            assert_eq!(next, NextAttempt::Final(FinalOutcome::Unknown), "{kind:?} {end:?}");
        }
    }
    for kind in [RouteKind::Idempotent, RouteKind::Stream { resumable: true }] {
        let next = sent(kind, 3).on_end(AttemptEnd::MaybeRan);
        assert_eq!(next, NextAttempt::Another { is_retry: true }, "{kind:?}");
    }
}

#[test]
fn a_request_that_did_not_run_is_sent_again_even_on_at_most_once_routes() {
    let next = sent(RouteKind::AtMostOnce, 1).on_end(AttemptEnd::NotRun);
    assert_eq!(next, NextAttempt::Another { is_retry: true });
    let next = sent(RouteKind::AtMostOnce, 1).on_end(AttemptEnd::NotSent);
    assert_eq!(next, NextAttempt::Another { is_retry: false });
}

#[test]
fn no_request_runs_on_more_replicas_than_its_route_allows() {
    for max_runs in 1..4 {
        let mut attempts = Attempts::new(RouteKind::Idempotent, max_runs);
        let mut runs = 0;
        loop {
            attempts.on_send(BackendName::new(&format!("replica-{runs}")));
            runs += 1;
            match attempts.on_end(AttemptEnd::MaybeRan) {
                NextAttempt::Another { .. } => {}
                NextAttempt::Final(outcome) => {
                    assert_eq!(outcome, FinalOutcome::Unknown);
                    break;
                }
            }
        }
        assert_eq!(runs, max_runs);
    }
}

#[test]
fn the_final_outcome_is_never_not_run_after_a_request_may_have_run() {
    for first in ENDS {
        for second in ENDS {
            let mut attempts = sent(RouteKind::Idempotent, 9);
            let _ = attempts.on_end(first);
            attempts.on_send(BackendName::new("two"));
            let _ = attempts.on_end(second);
            let ran = [first, second]
                .iter()
                .any(|end| matches!(end, AttemptEnd::MaybeRan | AttemptEnd::RanAndFailed));
            let expected = if ran { FinalOutcome::Unknown } else { FinalOutcome::NotRun };
            assert_eq!(attempts.final_outcome(), expected, "{first:?} {second:?}");
        }
    }
}

#[test]
fn a_request_that_every_replica_refuses_is_not_sent_forever() {
    let mut attempts = Attempts::new(RouteKind::AtMostOnce, 1);
    for sends in 1..10 {
        attempts.on_send(BackendName::new(&format!("replica-{sends}")));
        if attempts.on_end(AttemptEnd::NotRun) == NextAttempt::Final(FinalOutcome::NotRun) {
            assert!(sends > 1);
            return;
        }
    }
    panic!("a refused request was sent ten times");
}

#[test]
fn a_broken_stream_continues_only_if_it_is_resumable_and_runs_are_left() {
    let broken = |resumable, max_runs| {
        let mut attempts = sent(RouteKind::Stream { resumable }, max_runs);
        attempts.on_response_begun();
        attempts.on_broken_stream()
    };
    assert_eq!(broken(true, 2), NextAttempt::Another { is_retry: true });
    assert_eq!(broken(true, 1), NextAttempt::Final(FinalOutcome::Unknown));
    assert_eq!(broken(false, 2), NextAttempt::Final(FinalOutcome::Unknown));
}

// Guards against attempts beside a silent one that run on more replicas than the route allows.
#[test]
fn an_attempt_without_a_response_counts_as_one_that_may_have_run() {
    for kind in [RouteKind::Idempotent, RouteKind::Stream { resumable: true }] {
        let mut attempts = sent(kind, 2);
        assert_eq!(attempts.on_silence(), NextAttempt::Another { is_retry: true }, "{kind:?}");
        assert_eq!(attempts.final_outcome(), FinalOutcome::Unknown, "{kind:?}");
        attempts.on_send(BackendName::new("two"));
        assert_eq!(attempts.on_silence(), NextAttempt::Final(FinalOutcome::Unknown), "{kind:?}");
        let next = attempts.on_end(AttemptEnd::NotRun);
        assert_eq!(next, NextAttempt::Another { is_retry: true }, "{kind:?}");
    }
    for kind in [RouteKind::AtMostOnce, RouteKind::Stream { resumable: false }] {
        let attempts = sent(kind, 3);
        assert_eq!(attempts.on_silence(), NextAttempt::Final(FinalOutcome::Unknown), "{kind:?}");
    }
}

#[test]
fn attempts_that_another_response_overtook_count_as_runs() {
    let mut attempts = sent(RouteKind::Stream { resumable: true }, 3);
    attempts.on_send(BackendName::new("two"));
    attempts.on_response_begun();
    assert_eq!(attempts.on_broken_stream(), NextAttempt::Another { is_retry: true });
    attempts.on_send(BackendName::new("three"));
    attempts.on_given_up();
    assert_eq!(attempts.on_broken_stream(), NextAttempt::Final(FinalOutcome::Unknown));
}

#[test]
fn a_request_whose_attempts_all_ended_without_running_has_not_run() {
    let mut attempts = sent(RouteKind::Idempotent, 2);
    attempts.on_send(BackendName::new("two"));
    attempts.on_end(AttemptEnd::NotRun);
    attempts.on_end(AttemptEnd::NotSent);
    assert_eq!(attempts.final_outcome(), FinalOutcome::NotRun);
}

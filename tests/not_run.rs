//! Guards against an answer of "not run" where it isn't proven that the request did not run.

use tamaracklead::decide::dispatch_failure::DispatchFailure;
use tamaracklead::decide::dispatch_failure::may_try_another_engine;
use tamaracklead::decide::submissions::Outcome;
use tamaracklead::decide::submissions::Verdict;
use tamaracklead::error::Error;
use tamaracklead::error::ErrorKind;
use tamaracklead::error::Problem;
use tamaracklead::names::RequestId;

const ID: RequestId = RequestId(7);

/// Failures after which the backend server can't have acted on the request.
const PROVEN: [DispatchFailure; 6] = [
    DispatchFailure::ConnectRefused,
    DispatchFailure::ResetBeforeSend,
    DispatchFailure::NotSent,
    DispatchFailure::CancelledBeforeSend,
    DispatchFailure::Refused,
    DispatchFailure::OwnerUnreachable,
];

#[test]
fn only_these_failures_prove_that_a_dispatch_did_not_run() {
    for failure in DispatchFailure::ALL {
        assert_eq!(failure.proves_not_run(), PROVEN.contains(&failure), "{failure:?}");
    }
}

#[test]
fn error_kinds_say_not_run_exactly_when_the_failure_proves_it() {
    for failure in DispatchFailure::ALL {
        let rule = failure.rule();
        assert_eq!(rule.submission.response().not_run, rule.not_run, "submission {failure:?}");
        assert_eq!(rule.completion.response().not_run, rule.not_run, "completion {failure:?}");
    }
}

#[test]
fn another_replica_is_tried_only_while_nothing_was_sent() {
    for failure in DispatchFailure::ALL {
        assert!(!failure.allows_another_replica() || failure.proves_not_run(), "{failure:?}");
    }
    assert!(!DispatchFailure::Refused.allows_another_replica());
    assert!(!DispatchFailure::NotSent.allows_another_replica());
}

#[test]
fn the_whole_table_stands_as_written() {
    let mut rows = String::new();
    for failure in DispatchFailure::ALL {
        let rule = failure.rule();
        rows.push_str(&format!(
            "{failure:?}: not_run={} another_replica={} completion={:?} submission={:?}\n",
            rule.not_run, rule.another_replica, rule.completion, rule.submission
        ));
    }
    insta::assert_snapshot!(rows);
}

#[test]
fn a_completion_goes_to_another_engine_only_after_a_proven_not_run() {
    for kind in ErrorKind::ALL {
        let error = Error::new(kind, "first try");
        let proven = error.response().not_run;
        assert!(!may_try_another_engine(&error) || proven, "{kind:?}");
        assert!(!may_try_another_engine(&error.may_have_run()), "{kind:?}");
    }
    let passing = Error::new(ErrorKind::PeerUnreachable, "first try");
    assert!(may_try_another_engine(&passing));
}

#[test]
fn only_desk_statuses_that_reject_the_request_itself_prove_not_run() {
    let refusals = [400, 401, 403, 404, 405, 413, 415, 422];
    for status in 300..600 {
        let failure = DispatchFailure::of_desk_status(status);
        assert_eq!(failure == DispatchFailure::Refused, refusals.contains(&status), "{status}");
    }
}

#[test]
fn a_kind_that_may_follow_a_run_never_says_not_run() {
    let unproven = [
        ErrorKind::TicketInvalid,
        ErrorKind::TicketReused,
        ErrorKind::WrongAnswer,
        ErrorKind::BackendFailed,
        ErrorKind::OutcomeUnknown,
        ErrorKind::DeadlineExceeded,
        ErrorKind::Internal,
    ];
    for kind in ErrorKind::ALL {
        assert_eq!(!kind.response().not_run, unproven.contains(&kind), "{kind:?}");
    }
}

#[test]
fn a_refused_submission_is_not_run_only_if_its_ticket_expired() {
    for kind in ErrorKind::ALL {
        let error = Error::new(kind, "refused on the way").may_have_run();
        assert!(!error.response().not_run, "{kind:?}");
        assert!(!Problem::from(&error).not_run, "{kind:?}");
        let verdict = Verdict::of_refusal(Error::new(kind, "refused by the table"));
        let error_told = verdict.into_receipt(ID).unwrap_err();
        let proven = kind == ErrorKind::TicketExpired;
        assert_eq!(error_told.response().not_run, proven, "{kind:?}");
    }
}

#[test]
fn an_unknown_outcome_says_how_to_check() {
    let error_told = Verdict::of_outcome(ID, &Outcome::Unknown).into_receipt(ID).unwrap_err();
    assert_eq!(error_told.kind, ErrorKind::OutcomeUnknown);
    assert!(error_told.detail.contains("same ticket"), "{}", error_told.detail);
    assert!(error_told.detail.contains(&format!("status of {ID}")), "{}", error_told.detail);
}

#[test]
fn an_error_that_may_have_run_keeps_saying_so_between_instances() {
    let error = Error::new(ErrorKind::Draining, "instance a").may_have_run();
    let bytes = rmp_serde::to_vec_named(&error).unwrap();
    let read: Error = rmp_serde::from_slice(&bytes).unwrap();
    assert!(!read.response().not_run);
}

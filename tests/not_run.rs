//! "Not run" is only said when it is proven.

use tamaracklead::decide::dispatch_failure::DispatchFailure;
use tamaracklead::decide::dispatch_failure::may_try_another_engine;
use tamaracklead::decide::submissions::Outcome;
use tamaracklead::decide::submissions::Verdict;
use tamaracklead::error::Error;
use tamaracklead::error::ErrorKind;
use tamaracklead::error::Problem;
use tamaracklead::names::RequestId;

const ID: RequestId = RequestId(7);

/// Ends after which no byte of the request can have been acted on.
const PROVEN: [DispatchFailure; 6] = [
    DispatchFailure::ConnectRefused,
    DispatchFailure::ResetBeforeSend,
    DispatchFailure::NotSent,
    DispatchFailure::CancelledBeforeSend,
    DispatchFailure::Refused,
    DispatchFailure::OwnerUnreachable,
];

#[test]
fn only_these_ends_prove_that_a_dispatch_did_not_run() {
    for end in DispatchFailure::ALL {
        assert_eq!(end.proves_not_run(), PROVEN.contains(&end), "{end:?}");
    }
}

#[test]
fn kinds_say_not_run_exactly_when_the_end_proves_it() {
    for end in DispatchFailure::ALL {
        let rule = end.rule();
        assert_eq!(rule.submission.response().not_run, rule.not_run, "submission {end:?}");
        assert_eq!(rule.completion.response().not_run, rule.not_run, "completion {end:?}");
    }
}

#[test]
fn another_replica_is_tried_only_while_nothing_was_sent() {
    for end in DispatchFailure::ALL {
        assert!(!end.allows_another_replica() || end.proves_not_run(), "{end:?}");
    }
    assert!(!DispatchFailure::Refused.allows_another_replica());
    assert!(!DispatchFailure::NotSent.allows_another_replica());
}

#[test]
fn the_whole_table_stands_as_written() {
    let mut rows = String::new();
    for end in DispatchFailure::ALL {
        let rule = end.rule();
        rows.push_str(&format!(
            "{end:?}: not_run={} another_replica={} completion={:?} submission={:?}\n",
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
fn desks_refuse_by_statuses_that_name_a_fault_of_the_request() {
    let refusals = [400, 401, 403, 404, 405, 413, 415, 422];
    for status in 300..600 {
        let end = DispatchFailure::of_desk_status(status);
        assert_eq!(end == DispatchFailure::Refused, refusals.contains(&status), "{status}");
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
fn whatever_refuses_a_submission_with_a_ticket_says_nothing_of_not_run() {
    for kind in ErrorKind::ALL {
        let error = Error::new(kind, "refused on the way").may_have_run();
        assert!(!error.response().not_run, "{kind:?}");
        assert!(!Problem::from(&error).not_run, "{kind:?}");
        let verdict = Verdict::of_refusal(Error::new(kind, "refused by the book"));
        let told = verdict.into_receipt(ID).unwrap_err();
        let proven = kind == ErrorKind::TicketExpired;
        assert_eq!(told.response().not_run, proven, "{kind:?}");
    }
}

#[test]
fn an_unknown_outcome_tells_how_to_check() {
    let told = Verdict::of_outcome(ID, &Outcome::Unknown).into_receipt(ID).unwrap_err();
    assert_eq!(told.kind, ErrorKind::OutcomeUnknown);
    assert!(told.detail.contains("same ticket"), "{}", told.detail);
    assert!(told.detail.contains(&format!("status of {ID}")), "{}", told.detail);
}

#[test]
fn an_answer_that_may_have_run_keeps_saying_so_between_instances() {
    let error = Error::new(ErrorKind::Draining, "instance a").may_have_run();
    let bytes = rmp_serde::to_vec_named(&error).unwrap();
    let read: Error = rmp_serde::from_slice(&bytes).unwrap();
    assert!(!read.response().not_run);
}

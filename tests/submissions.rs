//! Guards against a submission that runs twice, or runs after its caller was told that it did not.
//!
//! The cases claim tickets again, after restarts, pauses, expiry and lost attempts.

use std::time::Duration;

use tamaracklead::decide::dispatch_failure::DispatchFailure;
use tamaracklead::decide::submissions::AfterSend;
use tamaracklead::decide::submissions::Attempt;
use tamaracklead::decide::submissions::BodyHash;
use tamaracklead::decide::submissions::ClaimResult;
use tamaracklead::decide::submissions::ENTRY_BYTES;
use tamaracklead::decide::submissions::MAX_RECEIPT_BYTES;
use tamaracklead::decide::submissions::OUTCOME_MEMORY;
use tamaracklead::decide::submissions::Outcome;
use tamaracklead::decide::submissions::PermissionStep;
use tamaracklead::decide::submissions::PermissionWait;
use tamaracklead::decide::submissions::SubmissionTable;
use tamaracklead::decide::submissions::SubmissionTableLimits;
use tamaracklead::decide::submissions::TICKET_LIFETIME;
use tamaracklead::decide::submissions::Ticket;
use tamaracklead::decide::submissions::TicketRoute;
use tamaracklead::decide::submissions::TicketStatus;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::Incarnation;
use tamaracklead::names::InstanceName;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;

const KEY: &[u8] = b"key of the fleet";
const NAME: &str = "entry.1.cairo";
const ID: RequestId = RequestId(7);
const START: Timestamp = Timestamp::ZERO;

fn table_of(incarnation: u64, limits: SubmissionTableLimits) -> SubmissionTable {
    SubmissionTable::new(InstanceName::new(NAME), Incarnation(incarnation), limits)
}

fn table() -> SubmissionTable {
    table_of(1, SubmissionTableLimits::default())
}

fn body() -> BodyHash {
    BodyHash::of(b"a proposal")
}

fn claim_attempt(table: &mut SubmissionTable, now: Timestamp, ticket: &Ticket) -> Attempt {
    match table.claim(now, ticket, body()).unwrap() {
        ClaimResult::Run(attempt) => attempt,
        other => panic!("the claim returned {other:?} instead of an attempt"),
    }
}

fn claim_outcome(table: &mut SubmissionTable, now: Timestamp, ticket: &Ticket) -> Outcome {
    match table.claim(now, ticket, body()).unwrap() {
        ClaimResult::Ended(outcome) => outcome,
        other => panic!("the claim returned {other:?} instead of an outcome"),
    }
}

fn done(receipt: &str) -> Outcome {
    Outcome::Done { receipt: receipt.into() }
}

#[test]
fn a_ticket_runs_once_and_re_sends_get_the_receipt() {
    let mut table = table();
    let ticket = table.issue(START, ID).unwrap();
    let attempt = claim_attempt(&mut table, START, &ticket);
    assert_eq!(table.claim(START, &ticket, body()).unwrap(), ClaimResult::Running);
    let permit = table.start_send(START, attempt).unwrap();
    assert_eq!(table.end_with_receipt(permit, "r-1"), done("r-1"));
    assert_eq!(claim_outcome(&mut table, START, &ticket), done("r-1"));
}

#[test]
fn a_restarted_process_never_runs_a_ticket_of_the_one_before() {
    let ticket = table().issue(START, ID).unwrap();
    let mut restarted = table_of(2, SubmissionTableLimits::default());
    for now in [START, START + TICKET_LIFETIME] {
        let refusal = restarted.claim(now, &ticket, body()).unwrap_err();
        assert_eq!(refusal.kind, ErrorKind::OutcomeUnknown);
    }
}

#[test]
fn a_ticket_that_the_table_does_not_hold_never_runs() {
    let ticket = table().issue(START, ID).unwrap();
    let mut same_incarnation = table();
    let refusal = same_incarnation.claim(START, &ticket, body()).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::OutcomeUnknown);
}

#[test]
fn another_body_is_refused_and_proves_nothing() {
    let mut table = table();
    let ticket = table.issue(START, ID).unwrap();
    let _attempt = claim_attempt(&mut table, START, &ticket);
    let refusal = table.claim(START, &ticket, BodyHash::of(b"another")).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::TicketReused);
    assert!(!refusal.response().not_run);
}

#[test]
fn not_run_voids_the_ticket_so_that_a_late_re_send_cannot_run() {
    let mut table = table();
    let ticket = table.issue(START, ID).unwrap();
    let attempt = claim_attempt(&mut table, START, &ticket);
    let after = table.end_without_connection(attempt, DispatchFailure::ConnectRefused, false);
    let not_run = Outcome::NotRun { kind: ErrorKind::NoBackend };
    assert_eq!(after, AfterSend::Ended(not_run.clone()));
    assert_eq!(claim_outcome(&mut table, START, &ticket), not_run);
}

#[test]
fn another_replica_follows_only_if_nothing_was_sent() {
    for end in DispatchFailure::ALL {
        let mut table = table();
        let ticket = table.issue(START, ID).unwrap();
        let attempt = claim_attempt(&mut table, START, &ticket);
        let permit = table.start_send(START, attempt).unwrap();
        match table.end_without_receipt(permit, end, true) {
            AfterSend::TryAnother(attempt) => {
                assert!(end.proves_not_run(), "{end:?}");
                assert!(table.start_send(START, attempt).is_ok(), "{end:?}");
            }
            AfterSend::Ended(outcome) => {
                let not_run = matches!(outcome, Outcome::NotRun { .. });
                assert_eq!(not_run, end.proves_not_run(), "{end:?}");
            }
        }
    }
}

#[test]
fn a_process_that_resumes_after_the_expiry_sends_nothing() {
    let mut table = table();
    let ticket = table.issue(START, ID).unwrap();
    let attempt = claim_attempt(&mut table, START, &ticket);
    let resumed_at = START + TICKET_LIFETIME;
    let outcome = table.start_send(resumed_at, attempt).unwrap_err();
    assert_eq!(outcome, Outcome::NotRun { kind: ErrorKind::TicketExpired });
    assert_eq!(claim_outcome(&mut table, resumed_at, &ticket), outcome);
}

#[test]
fn a_clock_read_before_a_pause_does_not_bring_an_expired_ticket_back() {
    let mut table = table();
    let ticket = table.issue(START, ID).unwrap();
    let late = START + TICKET_LIFETIME;
    let refusal = table.claim(late, &ticket, body()).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::TicketExpired);
    let refusal = table.claim(START, &ticket, body()).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::TicketExpired);
}

#[test]
fn an_outcome_that_was_forgotten_is_unknown_and_never_not_run() {
    let mut table = table();
    let ticket = table.issue(START, ID).unwrap();
    let attempt = claim_attempt(&mut table, START, &ticket);
    let permit = table.start_send(START, attempt).unwrap();
    table.end_with_receipt(permit, "r-1");
    let forgotten = START + TICKET_LIFETIME + OUTCOME_MEMORY;
    table.forget_expired(forgotten - Duration::from_micros(1));
    assert_eq!(claim_outcome(&mut table, START, &ticket), done("r-1"));
    table.forget_expired(forgotten);
    assert_eq!(table.counts().ended, 0);
    for now in [forgotten, START, START + TICKET_LIFETIME] {
        let refusal = table.claim(now, &ticket, body()).unwrap_err();
        assert_eq!(refusal.kind, ErrorKind::OutcomeUnknown);
    }
}

#[test]
fn an_unused_ticket_is_forgotten_at_its_expiry_and_still_proven_not_run() {
    let mut table = table();
    let ticket = table.issue(START, ID).unwrap();
    table.forget_expired(START + TICKET_LIFETIME);
    assert_eq!(table.counts().unused, 0);
    let refusal = table.claim(START, &ticket, body()).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::TicketExpired);
    assert!(refusal.response().not_run);
}

#[test]
fn a_running_submission_is_never_forgotten() {
    let mut table = table();
    let ticket = table.issue(START, ID).unwrap();
    let attempt = claim_attempt(&mut table, START, &ticket);
    let permit = table.start_send(START, attempt).unwrap();
    let much_later = START + (TICKET_LIFETIME + OUTCOME_MEMORY) * 3;
    table.forget_expired(much_later);
    assert_eq!(table.claim(much_later, &ticket, body()).unwrap(), ClaimResult::Running);
    table.end_with_receipt(permit, "r-1");
    assert_eq!(claim_outcome(&mut table, much_later, &ticket), done("r-1"));
}

#[test]
fn a_lost_attempt_is_unknown_and_a_recorded_outcome_is_kept() {
    let mut table = table();
    let ticket = table.issue(START, ID).unwrap();
    let attempt = claim_attempt(&mut table, START, &ticket);
    table.on_attempt_lost(ID);
    assert_eq!(claim_outcome(&mut table, START, &ticket), Outcome::Unknown);
    assert_eq!(table.give_up(attempt, ErrorKind::NoBackend), Outcome::Unknown);
    assert_eq!(claim_outcome(&mut table, START, &ticket), Outcome::Unknown);
}

#[test]
fn a_full_table_issues_no_tickets_and_sets_retry_after() {
    let bytes = 3 * (ENTRY_BYTES + MAX_RECEIPT_BYTES);
    let mut table =
        table_of(1, SubmissionTableLimits { bytes, ..SubmissionTableLimits::default() });
    for id in 0..3 {
        table.issue(START, RequestId(id)).unwrap();
    }
    let refusal = table.issue(START + Duration::from_secs(20), ID).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::Overloaded);
    assert_eq!(refusal.response().retry_after, Some(TICKET_LIFETIME - Duration::from_secs(20)));
    assert!(table.issue(START + TICKET_LIFETIME, ID).is_ok());
}

#[test]
fn a_receipt_that_is_too_long_is_not_kept() {
    let mut table = table();
    let ticket = table.issue(START, ID).unwrap();
    let attempt = claim_attempt(&mut table, START, &ticket);
    let permit = table.start_send(START, attempt).unwrap();
    let long = "9".repeat(MAX_RECEIPT_BYTES + 1);
    assert_eq!(table.end_with_receipt(permit, &long), Outcome::Unknown);
}

#[test]
fn the_ticket_status_is_not_run_only_once_that_is_final() {
    let mut table = table();
    let ticket = table.issue(START, ID).unwrap();
    let never_used = TicketStatus::Ended(Outcome::NotRun { kind: ErrorKind::TicketExpired });
    assert_eq!(table.ticket_status(START, &ticket), TicketStatus::Unused);
    let expired = START + TICKET_LIFETIME;
    assert_eq!(table.ticket_status(expired, &ticket), never_used);
    table.forget_expired(expired);
    assert_eq!(table.ticket_status(expired, &ticket), never_used);
    assert_eq!(table.ticket_status(expired + OUTCOME_MEMORY, &ticket), TicketStatus::Unknown);
    assert_eq!(
        table_of(2, SubmissionTableLimits::default()).ticket_status(expired, &ticket),
        TicketStatus::Unknown
    );
}

#[test]
fn the_ticket_status_follows_the_attempt() {
    let mut table = table();
    let ticket = table.issue(START, ID).unwrap();
    let attempt = claim_attempt(&mut table, START, &ticket);
    assert_eq!(table.ticket_status(START, &ticket), TicketStatus::Running);
    let permit = table.start_send(START, attempt).unwrap();
    table.end_with_receipt(permit, "r-1");
    assert_eq!(table.ticket_status(START, &ticket), TicketStatus::Ended(done("r-1")));
}

#[test]
fn tickets_carry_names_with_dots_and_refuse_every_changed_character() {
    let ticket = table().issue(START, ID).unwrap();
    let token = ticket.sign(KEY);
    assert_eq!(Ticket::verify(&token, KEY).unwrap(), ticket);
    assert!(Ticket::verify(&token, b"another key").is_err());
    for i in 0..token.len() {
        let mut changed = token.clone().into_bytes();
        changed[i] ^= 1;
        let Ok(changed) = String::from_utf8(changed) else { continue };
        assert_ne!(Ticket::verify(&changed, KEY).ok(), Some(ticket.clone()), "{changed}");
    }
}

#[test]
fn a_submission_goes_to_the_issuer_alone() {
    let ticket = table().issue(START, ID).unwrap();
    let own = InstanceName::new(NAME);
    let other = InstanceName::new("entry.2.cairo");
    let route = |name: &InstanceName, incarnation, known: bool| {
        TicketRoute::of(&ticket, name, Incarnation(incarnation), |_| known)
    };
    assert_eq!(route(&own, 1, true), TicketRoute::Here);
    assert_eq!(route(&own, 2, true), TicketRoute::Gone);
    assert_eq!(route(&other, 1, true), TicketRoute::Forward(own));
    assert_eq!(route(&other, 1, false), TicketRoute::Gone);
}

/// Guards against a submission that ends as not run since a pause of the process was detected
/// between the check before its connection and the one before its send.
#[test]
fn a_permission_that_is_lost_after_connecting_is_waited_for_again() {
    let wait = PermissionWait::start(START);
    assert_eq!(wait.step(START, true), PermissionStep::Proceed);
    let lost = START + Duration::from_millis(30);
    let PermissionStep::Wait(pause) = wait.step(lost, false) else { panic!("time is left") };
    assert_eq!(wait.step(lost + pause, true), PermissionStep::Proceed);
}

#[test]
fn a_submission_that_never_gets_its_permission_is_given_up_in_time() {
    let wait = PermissionWait::start(START);
    let mut now = START;
    while let PermissionStep::Wait(pause) = wait.step(now, false) {
        now = now + pause;
    }
    assert_eq!(wait.step(now, false), PermissionStep::GiveUp);
    assert!(now.since(START) <= Duration::from_secs(5), "callers wait 14 s for the outcome");
}

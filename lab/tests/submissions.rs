//! Submissions on real processes while issuers, desks and callers fail.
//!
//! Guards against a submission that runs twice or again at a replica desk, and
//! against an answer that claims more than is known: `not run` without proof, or
//! different receipts for one ticket.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use lab::caller;
use lab::caller::CallerError;
use lab::fleet;
use lab::fleet::Fleet;
use lab::fleet::FleetPlan;
use nix::sys::signal::Signal;
use tamaracklead::error::ErrorKind;
use tamaracklead::error::Problem;
use tamaracklead::wire::caller::SubmissionReply;

/// Delay of a desk's receipt, in milliseconds, during which a test injects its fault.
const DESK_DELAY_MS: u64 = 3_000;
/// Timeout of every wait; no assertion depends on a duration.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

type SubmitResult = Result<SubmissionReply, CallerError>;

async fn small_fleet(desk_delay_ms: u64) -> Fleet {
    let lab = Path::new(env!("CARGO_BIN_EXE_lab"));
    let plan = FleetPlan { engines: 1, adapters: 5, desk_delay_ms, ..FleetPlan::nakhla() };
    Fleet::start(lab.parent().unwrap(), plan).await.unwrap()
}

fn with_fleet<F: Future<Output = ()>>(desk_delay_ms: u64, test: impl FnOnce(Fleet) -> F) {
    fleet::runtime().unwrap().block_on(async { test(small_fleet(desk_delay_ms).await).await });
}

async fn ticket(fleet: &Fleet, entry: usize) -> String {
    caller::request_ticket(&fleet.client, fleet.entries[entry].addr).await.unwrap()
}

async fn submit(fleet: &Fleet, entry: usize, ticket: &str) -> SubmitResult {
    let body = serde_json::json!({"proposal": 7});
    caller::submit(&fleet.client, fleet.entries[entry].addr, ticket, &body).await
}

fn spawn_submit(
    fleet: &Fleet,
    entry: usize,
    ticket: &str,
) -> tokio::task::JoinHandle<SubmitResult> {
    let client = fleet.client.clone();
    let addr = fleet.entries[entry].addr;
    let ticket = ticket.to_owned();
    tokio::spawn(async move {
        let body = serde_json::json!({"proposal": 7});
        caller::submit(&client, addr, &ticket, &body).await
    })
}

/// Number of runs at one desk; 0 if it's down.
async fn runs_at(fleet: &Fleet, desk: usize) -> u64 {
    let counts: Result<BTreeMap<String, u64>, String> =
        fleet.client.get(fleet.desks[desk].addr, "/lab/counts").await;
    counts.map_or(0, |counts| counts.values().sum())
}

async fn total_runs(fleet: &Fleet) -> u64 {
    let mut total = 0;
    for desk in 0..fleet.desks.len() {
        total += runs_at(fleet, desk).await;
    }
    total
}

/// Waits until a desk has begun to run the submission; returns the desk's index.
async fn running_desk(fleet: &Fleet) -> usize {
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        for desk in 0..fleet.desks.len() {
            if runs_at(fleet, desk).await > 0 {
                return desk;
            }
        }
        assert!(Instant::now() < until, "no desk ran the submission");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn problem(answer: SubmitResult) -> Problem {
    match answer {
        Err(CallerError::Problem(problem)) => problem,
        other => panic!("expected a problem, got {other:?}"),
    }
}

fn assert_unknown(answer: SubmitResult) {
    let problem = problem(answer);
    assert_eq!(problem.kind, ErrorKind::OutcomeUnknown, "{problem:?}");
    assert!(!problem.not_run, "{problem:?}");
}

#[test]
fn a_ticket_of_a_killed_instance_never_runs() {
    with_fleet(0, async |mut fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        fleet.entries[0].process.kill();
        assert_unknown(submit(&fleet, 1, &ticket).await);
        fleet.entries[0].process.restart().unwrap();
        fleet.wait_until_ready().await.unwrap();
        for entry in 0..3 {
            assert_unknown(submit(&fleet, entry, &ticket).await);
        }
        assert_eq!(total_runs(&fleet).await, 0);
    });
}

#[test]
fn an_issuer_killed_during_the_desk_call_leaves_one_run_and_an_unknown_outcome() {
    with_fleet(DESK_DELAY_MS, async |mut fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        let first = spawn_submit(&fleet, 1, &ticket);
        running_desk(&fleet).await;
        fleet.entries[0].process.kill();
        assert_unknown(first.await.unwrap());
        for entry in 1..3 {
            assert_unknown(submit(&fleet, entry, &ticket).await);
        }
        fleet.entries[0].process.restart().unwrap();
        fleet.wait_until_ready().await.unwrap();
        assert_unknown(submit(&fleet, 0, &ticket).await);
        assert_eq!(total_runs(&fleet).await, 1);
    });
}

#[test]
fn an_issuer_killed_after_the_desk_call_causes_no_second_run() {
    with_fleet(0, async |mut fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        let receipt = submit(&fleet, 1, &ticket).await.unwrap().receipt;
        assert_eq!(submit(&fleet, 2, &ticket).await.unwrap().receipt, receipt);
        fleet.entries[0].process.kill();
        assert_unknown(submit(&fleet, 2, &ticket).await);
        assert_eq!(total_runs(&fleet).await, 1);
    });
}

#[test]
fn a_paused_issuer_runs_the_submission_once_when_resumed() {
    with_fleet(0, async |fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        fleet.entries[0].process.pause().await.unwrap();
        let sends = [spawn_submit(&fleet, 1, &ticket), spawn_submit(&fleet, 2, &ticket)];
        for send in sends {
            assert_unknown(send.await.unwrap());
        }
        assert_eq!(total_runs(&fleet).await, 0);
        fleet.entries[0].process.signal(Signal::SIGCONT);
        let receipt = submit(&fleet, 1, &ticket).await.unwrap().receipt;
        assert_eq!(submit(&fleet, 0, &ticket).await.unwrap().receipt, receipt);
        assert_eq!(total_runs(&fleet).await, 1);
    });
}

#[test]
fn an_issuer_paused_during_the_desk_call_causes_no_second_run() {
    with_fleet(DESK_DELAY_MS, async |fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        let first = spawn_submit(&fleet, 1, &ticket);
        running_desk(&fleet).await;
        fleet.entries[0].process.pause().await.unwrap();
        assert_unknown(submit(&fleet, 2, &ticket).await);
        assert_unknown(first.await.unwrap());
        fleet.entries[0].process.signal(Signal::SIGCONT);
        // The issuer's timeout for the desk may have expired during the pause.
        match submit(&fleet, 1, &ticket).await {
            Ok(reply) => assert!(!reply.receipt.is_empty()),
            unknown => assert_unknown(unknown),
        }
        assert_eq!(total_runs(&fleet).await, 1);
    });
}

#[test]
fn a_desk_killed_during_the_call_is_not_replaced_by_its_replica() {
    with_fleet(DESK_DELAY_MS, async |mut fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        let first = spawn_submit(&fleet, 1, &ticket);
        let desk = running_desk(&fleet).await;
        assert_eq!(runs_at(&fleet, desk).await, 1);
        fleet.desks[desk].process.kill();
        assert_unknown(first.await.unwrap());
        for entry in 0..3 {
            assert_unknown(submit(&fleet, entry, &ticket).await);
        }
        assert_eq!(runs_at(&fleet, 1 - desk).await, 0);
    });
}

#[test]
fn a_replica_desk_runs_the_submission_when_the_first_accepts_no_connection() {
    with_fleet(0, async |mut fleet: Fleet| {
        fleet.desks[0].process.kill();
        for number in 0..8 {
            let ticket = ticket(&fleet, number % 3).await;
            submit(&fleet, (number + 1) % 3, &ticket).await.unwrap();
        }
        assert_eq!(runs_at(&fleet, 1).await, 8);
    });
}

#[test]
fn not_run_stays_not_run_when_the_desks_come_back() {
    with_fleet(0, async |mut fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        fleet.desks.iter_mut().for_each(|desk| desk.process.kill());
        let refusal = problem(submit(&fleet, 1, &ticket).await);
        assert_eq!((refusal.kind, refusal.not_run), (ErrorKind::NoBackend, true));
        for desk in &mut fleet.desks {
            desk.process.restart().unwrap();
        }
        for entry in 0..3 {
            let refusal = problem(submit(&fleet, entry, &ticket).await);
            assert_eq!((refusal.kind, refusal.not_run), (ErrorKind::NoBackend, true));
        }
        assert_eq!(total_runs(&fleet).await, 0);
    });
}

#[test]
fn concurrent_sends_to_every_instance_run_once_and_get_one_receipt() {
    with_fleet(DESK_DELAY_MS / 10, async |fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        let sends: Vec<_> =
            (0..12).map(|number| spawn_submit(&fleet, number % 3, &ticket)).collect();
        let mut receipts = Vec::new();
        for send in sends {
            receipts.push(send.await.unwrap().unwrap().receipt);
        }
        receipts.dedup();
        assert_eq!(receipts.len(), 1);
        assert_eq!(total_runs(&fleet).await, 1);
    });
}

#[test]
fn a_caller_that_disconnects_gets_the_receipt_when_it_retries() {
    with_fleet(DESK_DELAY_MS / 3, async |fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        let first = spawn_submit(&fleet, 0, &ticket);
        running_desk(&fleet).await;
        first.abort();
        submit(&fleet, 2, &ticket).await.unwrap();
        assert_eq!(total_runs(&fleet).await, 1);
    });
}

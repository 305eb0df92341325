//! Submissions against real processes that are killed and stopped.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use lab::ask;
use lab::ask::AskError;
use lab::fleet;
use lab::fleet::Fleet;
use lab::fleet::FleetPlan;
use nix::sys::signal::Signal;
use tamaracklead::error::ErrorKind;
use tamaracklead::error::Problem;
use tamaracklead::wire::caller::SubmissionReply;

/// Time that a desk holds a call while a test interferes.
const HOLD_MS: u64 = 3_000;
/// Generous wait for what must come; nothing is judged by time.
const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);

type Answer = Result<SubmissionReply, AskError>;

async fn small_fleet(desk_delay_ms: u64) -> Fleet {
    let lab = Path::new(env!("CARGO_BIN_EXE_lab"));
    let plan = FleetPlan { engines: 1, adapters: 5, desk_delay_ms, ..FleetPlan::nakhla() };
    Fleet::start(lab.parent().unwrap(), plan).await.unwrap()
}

fn with_fleet<F: Future<Output = ()>>(desk_delay_ms: u64, test: impl FnOnce(Fleet) -> F) {
    fleet::runtime().unwrap().block_on(async { test(small_fleet(desk_delay_ms).await).await });
}

async fn ticket(fleet: &Fleet, entry: usize) -> String {
    ask::ticket(&fleet.client, fleet.entries[entry].addr).await.unwrap()
}

async fn submit(fleet: &Fleet, entry: usize, ticket: &str) -> Answer {
    let body = serde_json::json!({"proposal": 7});
    ask::submit(&fleet.client, fleet.entries[entry].addr, ticket, &body).await
}

fn begin_submit(fleet: &Fleet, entry: usize, ticket: &str) -> tokio::task::JoinHandle<Answer> {
    let client = fleet.client.clone();
    let addr = fleet.entries[entry].addr;
    let ticket = ticket.to_owned();
    tokio::spawn(async move {
        let body = serde_json::json!({"proposal": 7});
        ask::submit(&client, addr, &ticket, &body).await
    })
}

/// Runs at one desk; none if it's down.
async fn runs_at(fleet: &Fleet, desk: usize) -> u64 {
    let counts: Result<BTreeMap<String, u64>, String> =
        fleet.client.get(fleet.desks[desk].addr, "/lab/counts").await;
    counts.map_or(0, |counts| counts.values().sum())
}

async fn runs(fleet: &Fleet) -> u64 {
    let mut total = 0;
    for desk in 0..fleet.desks.len() {
        total += runs_at(fleet, desk).await;
    }
    total
}

/// Waits until a desk has begun to run something; gives its number.
async fn running_desk(fleet: &Fleet) -> usize {
    let until = Instant::now() + PATIENCE;
    loop {
        for desk in 0..fleet.desks.len() {
            if runs_at(fleet, desk).await > 0 {
                return desk;
            }
        }
        assert!(Instant::now() < until, "no desk ran the submission");
        tokio::time::sleep(POLL).await;
    }
}

fn problem(answer: Answer) -> Problem {
    match answer {
        Err(AskError::Problem(problem)) => problem,
        other => panic!("no problem but {other:?}"),
    }
}

fn assert_unknown(answer: Answer) {
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
        assert_eq!(runs(&fleet).await, 0);
    });
}

#[test]
fn an_issuer_killed_during_the_call_leaves_one_run_and_an_unknown_outcome() {
    with_fleet(HOLD_MS, async |mut fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        let first = begin_submit(&fleet, 1, &ticket);
        running_desk(&fleet).await;
        fleet.entries[0].process.kill();
        assert_unknown(first.await.unwrap());
        for entry in 1..3 {
            assert_unknown(submit(&fleet, entry, &ticket).await);
        }
        fleet.entries[0].process.restart().unwrap();
        fleet.wait_until_ready().await.unwrap();
        assert_unknown(submit(&fleet, 0, &ticket).await);
        assert_eq!(runs(&fleet).await, 1);
    });
}

#[test]
fn an_issuer_killed_after_the_call_leaves_one_run() {
    with_fleet(0, async |mut fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        let receipt = submit(&fleet, 1, &ticket).await.unwrap().receipt;
        assert_eq!(submit(&fleet, 2, &ticket).await.unwrap().receipt, receipt);
        fleet.entries[0].process.kill();
        assert_unknown(submit(&fleet, 2, &ticket).await);
        assert_eq!(runs(&fleet).await, 1);
    });
}

#[test]
fn a_stopped_issuer_that_wakes_runs_the_submission_once() {
    with_fleet(0, async |fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        fleet.entries[0].process.signal(Signal::SIGSTOP);
        let sends = [begin_submit(&fleet, 1, &ticket), begin_submit(&fleet, 2, &ticket)];
        for send in sends {
            assert_unknown(send.await.unwrap());
        }
        assert_eq!(runs(&fleet).await, 0);
        fleet.entries[0].process.signal(Signal::SIGCONT);
        let receipt = submit(&fleet, 1, &ticket).await.unwrap().receipt;
        assert_eq!(submit(&fleet, 0, &ticket).await.unwrap().receipt, receipt);
        assert_eq!(runs(&fleet).await, 1);
    });
}

#[test]
fn an_issuer_stopped_during_the_call_answers_re_sends_with_the_receipt() {
    with_fleet(HOLD_MS, async |fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        let first = begin_submit(&fleet, 1, &ticket);
        running_desk(&fleet).await;
        fleet.entries[0].process.signal(Signal::SIGSTOP);
        assert_unknown(submit(&fleet, 2, &ticket).await);
        assert_unknown(first.await.unwrap());
        fleet.entries[0].process.signal(Signal::SIGCONT);
        // Its wait for the desk may have run out while it was stopped.
        match submit(&fleet, 1, &ticket).await {
            Ok(reply) => assert!(!reply.receipt.is_empty()),
            unknown => assert_unknown(unknown),
        }
        assert_eq!(runs(&fleet).await, 1);
    });
}

#[test]
fn a_desk_killed_during_the_call_is_not_replaced_by_its_replica() {
    with_fleet(HOLD_MS, async |mut fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        let first = begin_submit(&fleet, 1, &ticket);
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
fn a_replica_runs_it_when_no_connection_to_the_first_is_made() {
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
        let told = problem(submit(&fleet, 1, &ticket).await);
        assert_eq!((told.kind, told.not_run), (ErrorKind::NoBackend, true));
        for desk in &mut fleet.desks {
            desk.process.restart().unwrap();
        }
        for entry in 0..3 {
            let told = problem(submit(&fleet, entry, &ticket).await);
            assert_eq!((told.kind, told.not_run), (ErrorKind::NoBackend, true));
        }
        assert_eq!(runs(&fleet).await, 0);
    });
}

#[test]
fn concurrent_sends_to_every_instance_run_once_and_get_one_receipt() {
    with_fleet(HOLD_MS / 10, async |fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        let sends: Vec<_> =
            (0..12).map(|number| begin_submit(&fleet, number % 3, &ticket)).collect();
        let mut receipts = Vec::new();
        for send in sends {
            receipts.push(send.await.unwrap().unwrap().receipt);
        }
        receipts.dedup();
        assert_eq!(receipts.len(), 1);
        assert_eq!(runs(&fleet).await, 1);
    });
}

#[test]
fn a_caller_that_goes_away_gets_the_receipt_when_it_comes_back() {
    with_fleet(HOLD_MS / 3, async |fleet: Fleet| {
        let ticket = ticket(&fleet, 0).await;
        let first = begin_submit(&fleet, 0, &ticket);
        running_desk(&fleet).await;
        first.abort();
        submit(&fleet, 2, &ticket).await.unwrap();
        assert_eq!(runs(&fleet).await, 1);
    });
}

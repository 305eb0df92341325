//! A daemon that shuts down cuts nothing off, refuses new work at once, and says so.

use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use lab::ask;
use lab::ask::AskedCompletion;
use lab::fleet;
use lab::fleet::Fleet;
use lab::fleet::FleetPlan;
use nix::sys::signal::Signal;
use tamaracklead::edge::HttpCall;
use tamaracklead::error::ErrorKind;

/// Tokens of a stream that outlasts everything else in a test.
const LONG: u32 = 1_000;
/// Exit code after a shutdown that cut work off.
const EXIT_CUT_OFF: i32 = 3;

fn start(runtime: &tokio::runtime::Runtime) -> Fleet {
    let bin_dir = Path::new(env!("CARGO_BIN_EXE_lab")).parent().unwrap();
    let plan = FleetPlan { entries: 2, engines: 1, ..FleetPlan::nakhla() };
    runtime.block_on(Fleet::start(bin_dir, plan)).unwrap()
}

fn long_completion() -> AskedCompletion {
    AskedCompletion { max_tokens: LONG, ..AskedCompletion::new(FleetPlan::adapter(1)) }
}

/// Waits until the daemon refuses completions because it's shutting down; returns the refusal.
async fn wait_until_draining(fleet: &Fleet, entry: usize) -> tamaracklead::error::Problem {
    loop {
        let asked = AskedCompletion::new(FleetPlan::adapter(1));
        match ask::ask(&fleet.client, fleet.entries[entry].addr, &asked).await {
            Err(ask::AskError::Problem(problem)) if problem.kind == ErrorKind::Draining => {
                return problem;
            }
            _ => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

#[test]
fn streams_are_finished_on_the_entry_and_on_the_owner_while_both_shut_down() {
    let runtime = fleet::runtime().unwrap();
    let mut fleet = start(&runtime);
    runtime.block_on(async {
        let mut streams = Vec::new();
        for entry in &fleet.entries {
            let (client, addr) = (fleet.client.clone(), entry.addr);
            streams.push(tokio::spawn(async move {
                ask::ask_stream(&client, addr, &long_completion()).await
            }));
        }
        fleet.wait_until_running().await.unwrap();
        for entry in &fleet.entries {
            entry.process.signal(Signal::SIGTERM);
        }
        let refusal = wait_until_draining(&fleet, 0).await;
        assert!(refusal.not_run, "{refusal:?}");
        assert!(refusal.retry_after_s.is_some(), "{refusal:?}");
        for stream in streams {
            stream.await.unwrap().unwrap();
        }
    });
    for entry in &mut fleet.entries {
        assert!(entry.process.wait().unwrap().success());
    }
}

#[test]
fn a_submission_with_its_ticket_is_still_run_while_its_issuer_shuts_down() {
    let runtime = fleet::runtime().unwrap();
    let mut fleet = start(&runtime);
    runtime.block_on(async {
        let (client, issuer) = (fleet.client.clone(), fleet.entries[0].addr);
        let ticket = ask::ticket(&client, issuer).await.unwrap();
        let stream = {
            let client = client.clone();
            tokio::spawn(async move { ask::ask_stream(&client, issuer, &long_completion()).await })
        };
        fleet.wait_until_running().await.unwrap();
        fleet.entries[0].process.signal(Signal::SIGTERM);
        wait_until_draining(&fleet, 0).await;
        let body = serde_json::json!({"proposal": 1});
        let own = ask::submit(&client, issuer, &ticket, &body).await.unwrap();
        let other = fleet.entries[1].addr;
        let forwarded = ask::submit(&client, other, &ticket, &body).await.unwrap();
        assert_eq!(own.receipt, forwarded.receipt);
        let call = HttpCall::post(issuer, "/v1/tickets", Bytes::new());
        assert_eq!(client.send(call).await.unwrap().status.as_u16(), 503);
        stream.await.unwrap().unwrap();
    });
    assert!(fleet.entries[0].process.wait().unwrap().success());
}

#[test]
fn a_second_signal_ends_the_process_and_its_exit_code_says_that_work_was_cut_off() {
    let runtime = fleet::runtime().unwrap();
    let mut fleet = start(&runtime);
    let (client, addr) = (fleet.client.clone(), fleet.entries[0].addr);
    let stream =
        runtime.spawn(async move { ask::ask_stream(&client, addr, &long_completion()).await });
    runtime.block_on(async {
        fleet.wait_until_running().await.unwrap();
        fleet.entries[0].process.signal(Signal::SIGTERM);
        wait_until_draining(&fleet, 0).await;
        fleet.entries[0].process.signal(Signal::SIGTERM);
    });
    let status = fleet.entries[0].process.wait().unwrap();
    assert_eq!(status.code(), Some(EXIT_CUT_OFF));
    assert!(runtime.block_on(stream).unwrap().is_err());
}

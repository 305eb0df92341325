//! Graceful shutdown of entry instances on real processes.
//!
//! Guards against streams that a SIGTERM cuts off, new work that is accepted after it,
//! a refusal that doesn't say `not run` and when to retry, and an exit code that hides
//! work cut off by a second SIGTERM.

use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use lab::caller;
use lab::caller::CompletionSpec;
use lab::fleet;
use lab::fleet::Fleet;
use lab::fleet::FleetPlan;
use nix::sys::signal::Signal;
use tamaracklead::edge::HttpCall;
use tamaracklead::error::ErrorKind;

/// Tokens of a stream that still runs when the test has sent its signals.
const LONG_STREAM_TOKENS: u32 = 1_000;
/// Exit code of a shutdown that cut off work in progress.
const EXIT_CUT_OFF: i32 = 3;

fn start(runtime: &tokio::runtime::Runtime) -> Fleet {
    let bin_dir = Path::new(env!("CARGO_BIN_EXE_lab")).parent().unwrap();
    let plan = FleetPlan { entries: 2, engines: 1, ..FleetPlan::nakhla() };
    runtime.block_on(Fleet::start(bin_dir, plan)).unwrap()
}

fn long_completion() -> CompletionSpec {
    CompletionSpec { max_tokens: LONG_STREAM_TOKENS, ..CompletionSpec::new(FleetPlan::adapter(1)) }
}

/// Waits until an entry instance refuses completions as draining; returns the refusal.
async fn wait_until_draining(fleet: &Fleet, entry: usize) -> tamaracklead::error::Problem {
    loop {
        let spec = CompletionSpec::new(FleetPlan::adapter(1));
        match caller::complete(&fleet.client, fleet.entries[entry].addr, &spec).await {
            Err(caller::CallerError::Problem(problem)) if problem.kind == ErrorKind::Draining => {
                return problem;
            }
            _ => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

#[test]
fn streams_complete_at_the_entry_and_at_the_owner_while_both_shut_down() {
    let runtime = fleet::runtime().unwrap();
    let mut fleet = start(&runtime);
    runtime.block_on(async {
        let mut streams = Vec::new();
        for entry in &fleet.entries {
            let (client, addr) = (fleet.client.clone(), entry.addr);
            streams.push(tokio::spawn(async move {
                caller::complete_streaming(&client, addr, &long_completion()).await
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
fn an_issuer_that_shuts_down_still_runs_a_submission_under_its_ticket() {
    let runtime = fleet::runtime().unwrap();
    let mut fleet = start(&runtime);
    runtime.block_on(async {
        let (client, issuer) = (fleet.client.clone(), fleet.entries[0].addr);
        let ticket = caller::request_ticket(&client, issuer).await.unwrap();
        let stream = {
            let client = client.clone();
            tokio::spawn(async move {
                caller::complete_streaming(&client, issuer, &long_completion()).await
            })
        };
        fleet.wait_until_running().await.unwrap();
        fleet.entries[0].process.signal(Signal::SIGTERM);
        wait_until_draining(&fleet, 0).await;
        let body = serde_json::json!({"proposal": 1});
        let own = caller::submit(&client, issuer, &ticket, &body).await.unwrap();
        let other = fleet.entries[1].addr;
        let forwarded = caller::submit(&client, other, &ticket, &body).await.unwrap();
        assert_eq!(own.receipt, forwarded.receipt);
        let call = HttpCall::post(issuer, "/v1/tickets", Bytes::new());
        assert_eq!(client.send(call).await.unwrap().status.as_u16(), 503);
        stream.await.unwrap().unwrap();
    });
    assert!(fleet.entries[0].process.wait().unwrap().success());
}

#[test]
fn a_second_sigterm_ends_the_process_with_the_exit_code_for_cut_off_work() {
    let runtime = fleet::runtime().unwrap();
    let mut fleet = start(&runtime);
    let (client, addr) = (fleet.client.clone(), fleet.entries[0].addr);
    let stream = runtime
        .spawn(async move { caller::complete_streaming(&client, addr, &long_completion()).await });
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

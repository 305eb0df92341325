//! Engine ownership on real processes: owners and engines are paused, killed or crashed.
//!
//! Guards against completions by a wrong adapter and unloads of adapters in use
//! while ownership moves, and against a request that crashes one engine after another.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use lab::caller;
use lab::caller::CallerError;
use lab::caller::CompletionSpec;
use lab::fleet;
use lab::fleet::Fleet;
use lab::fleet::FleetPlan;
use nix::sys::signal::Signal;
use tamaracklead::error::ErrorKind;
use tamaracklead::wire::listing::FencingMode;

/// Attempts of a caller, and rounds of the crashing request, before a test ends.
const MAX_ATTEMPTS: usize = 60;
/// More adapters than one engine has slots, so that some must be evicted.
const ADAPTER_COUNT: u32 = 12;
/// Text in a prompt that makes a stand-in engine crash.
const CRASH_PROMPT: &str = "crash the engine";
/// Most engines that one request may crash before it's quarantined.
const MAX_ENGINES_LOST: usize = 2;
/// Tokens of a stream that still runs when its engine is killed.
const LONG_STREAM_TOKENS: u32 = 2_000;

fn start(runtime: &tokio::runtime::Runtime, plan: FleetPlan) -> Fleet {
    let bin_dir = Path::new(env!("CARGO_BIN_EXE_lab")).parent().unwrap();
    runtime.block_on(Fleet::start(bin_dir, plan)).unwrap()
}

fn one_engine(fencing: FencingMode) -> FleetPlan {
    FleetPlan { entries: 3, engines: 1, fencing, ..FleetPlan::nakhla() }
}

/// Requests a checked completion of every adapter, spread over `addrs`.
async fn complete_all_adapters(fleet: &Fleet, addrs: &[SocketAddr]) {
    let mut calls = Vec::new();
    for number in 1..=ADAPTER_COUNT {
        let spec = CompletionSpec::new(FleetPlan::adapter(number));
        let client = fleet.client.clone();
        let mut addrs = addrs.to_vec();
        let turn = number as usize % addrs.len();
        addrs.rotate_left(turn);
        calls.push(tokio::spawn(async move {
            caller::complete_with_retries(&client, &addrs, &spec, MAX_ATTEMPTS).await
        }));
    }
    for call in calls {
        call.await.unwrap().unwrap();
    }
}

async fn assert_no_busy_unload(fleet: &Fleet) {
    for engine in &fleet.engines {
        let counts: BTreeMap<String, u64> =
            fleet.client.get(engine.addr, "/lab/counts").await.unwrap();
        assert_eq!(counts.get("busy_unloads"), Some(&0), "{counts:?}");
    }
}

/// All entry instances but the first, which owns the engine: both are in one data centre.
fn non_owners(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.entries.iter().skip(1).map(|entry| entry.addr).collect()
}

#[test]
fn a_paused_owner_is_replaced_and_unloads_no_adapter_in_use_when_resumed() {
    for fencing in [FencingMode::Refuse, FencingMode::Ignore] {
        let runtime = fleet::runtime().unwrap();
        let fleet = start(&runtime, one_engine(fencing));
        runtime.block_on(async {
            complete_all_adapters(&fleet, &non_owners(&fleet)).await;
            fleet.entries[0].process.pause().await.unwrap();
            complete_all_adapters(&fleet, &non_owners(&fleet)).await;
            fleet.entries[0].process.signal(Signal::SIGCONT);
            let all: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.addr).collect();
            complete_all_adapters(&fleet, &all).await;
            assert_no_busy_unload(&fleet).await;
        });
    }
}

#[test]
fn a_killed_owner_is_replaced() {
    for fencing in [FencingMode::Refuse, FencingMode::Ignore] {
        let runtime = fleet::runtime().unwrap();
        let mut fleet = start(&runtime, one_engine(fencing));
        runtime.block_on(complete_all_adapters(&fleet, &non_owners(&fleet)));
        fleet.entries[0].process.kill();
        runtime.block_on(async {
            complete_all_adapters(&fleet, &non_owners(&fleet)).await;
            assert_no_busy_unload(&fleet).await;
        });
    }
}

#[test]
fn a_stream_that_ended_with_its_engine_is_answered_when_retried() {
    let runtime = fleet::runtime().unwrap();
    let mut fleet = start(&runtime, one_engine(FencingMode::Refuse));
    let spec = CompletionSpec {
        max_tokens: LONG_STREAM_TOKENS,
        ..CompletionSpec::new(FleetPlan::adapter(1))
    };
    runtime.block_on(complete_all_adapters(&fleet, &non_owners(&fleet)));
    let (client, addr, first) = (fleet.client.clone(), fleet.entries[1].addr, spec.clone());
    let stream =
        runtime.spawn(async move { caller::complete_streaming(&client, addr, &first).await });
    runtime.block_on(fleet.wait_until_running()).unwrap();
    fleet.engines[0].process.kill();
    assert!(runtime.block_on(stream).unwrap().is_err());
    fleet.engines[0].process.restart().unwrap();
    runtime.block_on(async {
        caller::complete_with_retries(&fleet.client, &non_owners(&fleet), &spec, MAX_ATTEMPTS)
            .await
            .unwrap();
        complete_all_adapters(&fleet, &non_owners(&fleet)).await;
    });
}

#[test]
fn a_request_that_crashes_engines_crashes_at_most_two_through_any_instance() {
    let runtime = fleet::runtime().unwrap();
    let plan = FleetPlan { entries: 3, engines: 5, ..FleetPlan::nakhla() };
    let mut fleet = start(&runtime, plan);
    let crashing = CompletionSpec {
        prompt: CRASH_PROMPT.to_owned(),
        ..CompletionSpec::new(FleetPlan::adapter(1))
    };
    let mut quarantined = false;
    for _ in 0..MAX_ATTEMPTS {
        let mut calls = Vec::new();
        for entry in &fleet.entries {
            let (client, addr, spec) = (fleet.client.clone(), entry.addr, crashing.clone());
            calls.push(runtime.spawn(async move { caller::complete(&client, addr, &spec).await }));
        }
        for call in calls {
            let error: CallerError = runtime.block_on(call).unwrap().unwrap_err();
            quarantined |= error.kind() == Some(ErrorKind::Quarantined);
        }
    }
    let lost = fleet.engines.iter_mut().filter_map(|e| e.process.has_ended().then_some(())).count();
    assert!(lost <= MAX_ENGINES_LOST, "the request crashed {lost} engines");
    assert!(lost > 0, "the request reached no engine");
    assert!(
        lost < MAX_ENGINES_LOST || quarantined,
        "the request crashed {lost} engines and was never quarantined"
    );
    let all: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.addr).collect();
    runtime.block_on(complete_all_adapters(&fleet, &all));
}

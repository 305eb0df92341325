//! Engines change hands, restart and crash under real processes; answers stay right.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use lab::ask;
use lab::ask::AskError;
use lab::ask::AskedCompletion;
use lab::fleet;
use lab::fleet::Fleet;
use lab::fleet::FleetPlan;
use nix::sys::signal::Signal;
use tamaracklead::error::ErrorKind;
use tamaracklead::wire::listing::FencingMode;

/// How often a caller comes back before a test gives up.
const TRIES: usize = 60;
/// More adapters than all slots together, so that some must be evicted.
const ADAPTERS: u32 = 12;
/// Text that makes a stand-in engine crash.
const POISON: &str = "crash the engine";
/// Engines that one request may end.
const MOST_LOST: usize = 2;
/// Tokens of a stream that outlasts an engine.
const LONG: u32 = 2_000;

fn start(runtime: &tokio::runtime::Runtime, plan: FleetPlan) -> Fleet {
    let bin_dir = Path::new(env!("CARGO_BIN_EXE_lab")).parent().unwrap();
    runtime.block_on(Fleet::start(bin_dir, plan)).unwrap()
}

fn one_engine(fencing: FencingMode) -> FleetPlan {
    FleetPlan { entries: 3, engines: 1, fencing, ..FleetPlan::nakhla() }
}

/// Asks for every adapter, from all of `addrs` in turn.
async fn ask_all(fleet: &Fleet, addrs: &[SocketAddr]) {
    let mut calls = Vec::new();
    for number in 1..=ADAPTERS {
        let asked = AskedCompletion::new(FleetPlan::adapter(number));
        let client = fleet.client.clone();
        let mut addrs = addrs.to_vec();
        let turn = number as usize % addrs.len();
        addrs.rotate_left(turn);
        calls.push(tokio::spawn(async move {
            ask::ask_patiently(&client, &addrs, &asked, TRIES).await
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

/// The daemons without the owner of the engine, which is the one of its data centre.
fn others(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.entries.iter().skip(1).map(|entry| entry.addr).collect()
}

#[test]
fn a_frozen_owner_is_replaced_and_does_no_harm_when_it_wakes() {
    for fencing in [FencingMode::Refuse, FencingMode::Ignore] {
        let runtime = fleet::runtime().unwrap();
        let fleet = start(&runtime, one_engine(fencing));
        runtime.block_on(async {
            ask_all(&fleet, &others(&fleet)).await;
            fleet.entries[0].process.signal(Signal::SIGSTOP);
            ask_all(&fleet, &others(&fleet)).await;
            fleet.entries[0].process.signal(Signal::SIGCONT);
            let all: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.addr).collect();
            ask_all(&fleet, &all).await;
            assert_no_busy_unload(&fleet).await;
        });
    }
}

#[test]
fn a_killed_owner_is_replaced() {
    for fencing in [FencingMode::Refuse, FencingMode::Ignore] {
        let runtime = fleet::runtime().unwrap();
        let mut fleet = start(&runtime, one_engine(fencing));
        runtime.block_on(ask_all(&fleet, &others(&fleet)));
        fleet.entries[0].process.kill();
        runtime.block_on(async {
            ask_all(&fleet, &others(&fleet)).await;
            assert_no_busy_unload(&fleet).await;
        });
    }
}

#[test]
fn requests_that_an_engine_took_down_with_it_are_answered_when_sent_again() {
    let runtime = fleet::runtime().unwrap();
    let mut fleet = start(&runtime, one_engine(FencingMode::Refuse));
    let asked = AskedCompletion { max_tokens: LONG, ..AskedCompletion::new(FleetPlan::adapter(1)) };
    runtime.block_on(ask_all(&fleet, &others(&fleet)));
    let (client, addr, first) = (fleet.client.clone(), fleet.entries[1].addr, asked.clone());
    let stream = runtime.spawn(async move { ask::ask_stream(&client, addr, &first).await });
    runtime.block_on(fleet.wait_until_running()).unwrap();
    fleet.engines[0].process.kill();
    assert!(runtime.block_on(stream).unwrap().is_err());
    fleet.engines[0].process.restart().unwrap();
    runtime.block_on(async {
        ask::ask_patiently(&fleet.client, &others(&fleet), &asked, TRIES).await.unwrap();
        ask_all(&fleet, &others(&fleet)).await;
    });
}

#[test]
fn a_request_that_crashes_engines_ends_two_at_most_whoever_is_asked() {
    let runtime = fleet::runtime().unwrap();
    let plan = FleetPlan { entries: 3, engines: 5, ..FleetPlan::nakhla() };
    let mut fleet = start(&runtime, plan);
    let poison = AskedCompletion {
        prompt: POISON.to_owned(),
        ..AskedCompletion::new(FleetPlan::adapter(1))
    };
    let mut quarantined = false;
    for _ in 0..TRIES {
        let mut calls = Vec::new();
        for entry in &fleet.entries {
            let (client, addr, asked) = (fleet.client.clone(), entry.addr, poison.clone());
            calls.push(runtime.spawn(async move { ask::ask(&client, addr, &asked).await }));
        }
        for call in calls {
            let error: AskError = runtime.block_on(call).unwrap().unwrap_err();
            quarantined |= error.kind() == Some(ErrorKind::Quarantined);
        }
    }
    let lost = fleet.engines.iter_mut().filter_map(|e| e.process.has_ended().then_some(())).count();
    assert!(lost <= MOST_LOST, "{lost} engines were lost");
    assert!(lost > 0, "the poison reached no engine");
    assert!(lost < MOST_LOST || quarantined, "the poison was never quarantined");
    let all: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.addr).collect();
    runtime.block_on(ask_all(&fleet, &all));
}

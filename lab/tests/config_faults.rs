//! Configuration and leaving engines on real processes, under faults.
//!
//! Guards against an entry instance that goes back to an older generation after a
//! restart or a pause, and against new work for an engine that is leaving.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use lab::caller;
use lab::caller::CompletionSpec;
use lab::fleet;
use lab::fleet::Fleet;
use lab::fleet::FleetPlan;
use nix::sys::signal::Signal;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::Generation;
use tamaracklead::wire::listing::BackendRole;
use tamaracklead::wire::listing::ListedState;

/// Timeout of every wait; far longer than any needs on a correct fleet.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn start() -> Fleet {
    let bin_dir = Path::new(env!("CARGO_BIN_EXE_lab")).parent().unwrap();
    let plan = FleetPlan { engines: 1, desks: 1, ..FleetPlan::nakhla() };
    Fleet::start(bin_dir, plan).await.unwrap()
}

async fn wait_until_ready(fleet: &Fleet, entry: usize) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !fleet.is_ready(entry).await {
        assert!(Instant::now() < until, "entry {entry} is not ready");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn generation(fleet: &Fleet, entry: usize) -> Option<Generation> {
    fleet.status(entry).await.unwrap().generation
}

/// Kind of the failure of one completion; `None` if it succeeded.
async fn refusal(fleet: &Fleet, entry: usize) -> Option<ErrorKind> {
    let spec = CompletionSpec::new(FleetPlan::adapter(1));
    let answer = caller::complete(&fleet.client, fleet.entries[entry].addr, &spec).await;
    answer.err().map(|error| error.kind().unwrap_or(ErrorKind::Internal))
}

/// Retries until a completion succeeds; a new owner may still be taking over the engine.
async fn wait_until_served(fleet: &Fleet, entry: usize) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while let Some(kind) = refusal(fleet, entry).await {
        assert!(Instant::now() < until, "entry {entry} still refuses completions: {kind}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_until_refused(fleet: &Fleet) {
    let until = Instant::now() + WAIT_TIMEOUT;
    for entry in 0..fleet.entries.len() {
        while refusal(fleet, entry).await != Some(ErrorKind::NoBackend) {
            assert!(
                Instant::now() < until,
                "entry {entry} doesn't refuse completions for a leaving engine"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

#[test]
fn a_restarted_instance_ignores_an_older_generation_of_a_stale_configuration_service() {
    fleet::runtime().unwrap().block_on(async {
        let mut fleet = start().await;
        fleet.publish(Generation(2), "ordinary").await.unwrap();
        fleet.wait_for_generation(Generation(2)).await.unwrap();
        fleet.publish(Generation(1), "ordinary").await.unwrap();
        for entry in 1..fleet.entries.len() {
            fleet.entries[entry].process.restart().unwrap();
        }
        for entry in 0..fleet.entries.len() {
            wait_until_ready(&fleet, entry).await;
            assert_eq!(generation(&fleet, entry).await, Some(Generation(2)));
        }
    });
}

#[test]
fn a_restarted_instance_learns_the_generation_while_the_configuration_service_is_down() {
    fleet::runtime().unwrap().block_on(async {
        let mut fleet = start().await;
        fleet.publish(Generation(2), "ordinary").await.unwrap();
        fleet.wait_for_generation(Generation(2)).await.unwrap();
        fleet.config.process.kill();
        fleet.entries[1].process.restart().unwrap();
        wait_until_ready(&fleet, 1).await;
        assert_eq!(generation(&fleet, 1).await, Some(Generation(2)));
        wait_until_served(&fleet, 1).await;
    });
}

#[test]
fn a_resumed_instance_is_ready_only_with_the_generation_of_its_peers() {
    fleet::runtime().unwrap().block_on(async {
        let mut fleet = start().await;
        fleet.entries[2].process.pause().await.unwrap();
        fleet.publish(Generation(2), "ordinary").await.unwrap();
        let until = Instant::now() + WAIT_TIMEOUT;
        for entry in 0..2 {
            while generation(&fleet, entry).await != Some(Generation(2)) {
                assert!(Instant::now() < until, "entry {entry} has not applied generation 2");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        fleet.publish(Generation(1), "ordinary").await.unwrap();
        // Longer than the pause after which an instance treats its own view as outdated.
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet.entries[2].process.signal(Signal::SIGCONT);
        wait_until_ready(&fleet, 2).await;
        assert_eq!(generation(&fleet, 2).await, Some(Generation(2)));
        fleet.wait_for_generation(Generation(2)).await.unwrap();
    });
}

#[test]
fn an_engine_listed_as_leaving_gets_no_work_after_it_is_listed_as_live_again() {
    fleet::runtime().unwrap().block_on(async {
        let mut fleet = start().await;
        wait_until_served(&fleet, 0).await;
        for state in [ListedState::Leaving, ListedState::Live] {
            for backend in &mut fleet.listing.backends {
                if matches!(backend.role, BackendRole::Engine { .. }) {
                    backend.state = state;
                }
            }
            fleet.publish_listing().await.unwrap();
            wait_until_refused(&fleet).await;
        }
        // Long enough for the instances to read the list several times.
        tokio::time::sleep(Duration::from_secs(3)).await;
        for entry in 0..fleet.entries.len() {
            assert_eq!(refusal(&fleet, entry).await, Some(ErrorKind::NoBackend));
        }
    });
}

#[test]
fn an_engine_that_reports_leaving_gets_no_work_from_any_instance() {
    fleet::runtime().unwrap().block_on(async {
        let fleet = start().await;
        // The first completion makes an instance own the engine, which then polls its reports.
        wait_until_served(&fleet, 0).await;
        fleet.client.put_json(fleet.engines[0].addr, "/lab/leaving", &()).await.unwrap();
        wait_until_refused(&fleet).await;
    });
}

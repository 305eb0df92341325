//! Configuration and leaving backend servers on real processes, under faults.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use lab::ask;
use lab::ask::AskedCompletion;
use lab::fleet;
use lab::fleet::Fleet;
use lab::fleet::FleetPlan;
use nix::sys::signal::Signal;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::Generation;
use tamaracklead::wire::listing::BackendRole;
use tamaracklead::wire::listing::ListedState;

/// Longest wait for anything; only a fault lets it pass.
const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(50);

async fn start() -> Fleet {
    let bin_dir = Path::new(env!("CARGO_BIN_EXE_lab")).parent().unwrap();
    let plan = FleetPlan { engines: 1, desks: 1, ..FleetPlan::nakhla() };
    Fleet::start(bin_dir, plan).await.unwrap()
}

async fn wait_until_ready(fleet: &Fleet, entry: usize) {
    let until = Instant::now() + PATIENCE;
    while !fleet.is_ready(entry).await {
        assert!(Instant::now() < until, "entry {entry} is not ready");
        tokio::time::sleep(POLL).await;
    }
}

async fn generation(fleet: &Fleet, entry: usize) -> Option<Generation> {
    fleet.status(entry).await.unwrap().generation
}

async fn refusal(fleet: &Fleet, entry: usize) -> Option<ErrorKind> {
    let asked = AskedCompletion::new(FleetPlan::adapter(1));
    let answer = ask::ask(&fleet.client, fleet.entries[entry].addr, &asked).await;
    answer.err().map(|error| error.kind().unwrap_or(ErrorKind::Internal))
}

/// Asks until a completion is answered; a new owner may still be taking the engine over.
async fn wait_until_served(fleet: &Fleet, entry: usize) {
    let until = Instant::now() + PATIENCE;
    while let Some(kind) = refusal(fleet, entry).await {
        assert!(Instant::now() < until, "entry {entry} refuses: {kind}");
        tokio::time::sleep(POLL).await;
    }
}

async fn wait_until_refused(fleet: &Fleet) {
    let until = Instant::now() + PATIENCE;
    for entry in 0..fleet.entries.len() {
        while refusal(fleet, entry).await != Some(ErrorKind::NoBackend) {
            assert!(Instant::now() < until, "entry {entry} gives a leaving engine new work");
            tokio::time::sleep(POLL).await;
        }
    }
}

#[test]
fn a_restarted_daemon_never_comes_back_with_the_generation_of_a_stale_service() {
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
fn a_restarted_daemon_learns_the_generation_while_the_service_is_down() {
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
fn a_paused_daemon_is_ready_again_only_with_the_generation_of_its_peers() {
    fleet::runtime().unwrap().block_on(async {
        let mut fleet = start().await;
        fleet.entries[2].process.signal(Signal::SIGSTOP);
        fleet.publish(Generation(2), "ordinary").await.unwrap();
        let until = Instant::now() + PATIENCE;
        for entry in 0..2 {
            while generation(&fleet, entry).await != Some(Generation(2)) {
                assert!(Instant::now() < until, "entry {entry} is behind");
                tokio::time::sleep(POLL).await;
            }
        }
        fleet.publish(Generation(1), "ordinary").await.unwrap();
        // Past the pause after which a daemon counts its own view as outdated.
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet.entries[2].process.signal(Signal::SIGCONT);
        wait_until_ready(&fleet, 2).await;
        assert_eq!(generation(&fleet, 2).await, Some(Generation(2)));
        fleet.wait_for_generation(Generation(2)).await.unwrap();
    });
}

#[test]
fn a_listed_leaving_engine_gets_no_work_although_the_list_says_live_again() {
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
        // Long enough for several reads of the list.
        tokio::time::sleep(Duration::from_secs(3)).await;
        for entry in 0..fleet.entries.len() {
            assert_eq!(refusal(&fleet, entry).await, Some(ErrorKind::NoBackend));
        }
    });
}

#[test]
fn an_engines_own_word_that_it_leaves_reaches_every_daemon() {
    fleet::runtime().unwrap().block_on(async {
        let fleet = start().await;
        // The first completion gives the engine its owner, which asks for its reports.
        wait_until_served(&fleet, 0).await;
        fleet.client.put_json(fleet.engines[0].addr, "/lab/leaving", &()).await.unwrap();
        wait_until_refused(&fleet).await;
    });
}

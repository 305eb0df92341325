//! Engine ranking and choice, load wait limits, demand counters and the retry budget.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use tamaracklead::decide::admission;
use tamaracklead::decide::demand::DemandCounters;
use tamaracklead::decide::engine::EngineSummary;
use tamaracklead::decide::retry_budget::RetryBudget;
use tamaracklead::decide::routing;
use tamaracklead::names::AdapterName;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::BackendName;
use tamaracklead::names::DataCentre;
use tamaracklead::names::ModelName;
use tamaracklead::names::Timestamp;
use tamaracklead::names::Version;
use tamaracklead::wire::listing::BackendRole;
use tamaracklead::wire::listing::FencingMode;
use tamaracklead::wire::listing::ListedBackend;
use tamaracklead::wire::listing::ListedState;

fn adapter(name: &str) -> AdapterRef {
    AdapterRef::new(AdapterName::new(name), Version(1))
}

fn engine(number: usize) -> ListedBackend {
    ListedBackend {
        incarnation: None,
        name: BackendName::new(&format!("engine-{number}")),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        data_centre: DataCentre::new("dc-1"),
        state: ListedState::Live,
        role: BackendRole::Engine {
            model: ModelName::new("base"),
            slots: 8,
            batch: 16,
            fencing: FencingMode::Refuse,
        },
    }
}

fn summary(
    ready: &[&str],
    free_slots: usize,
    victim_demand: Option<f64>,
    depth: usize,
) -> EngineSummary {
    EngineSummary {
        ready: ready.iter().map(|name| adapter(name)).collect(),
        free_slots,
        victim_demand,
        depth,
        batch: 16,
        ..EngineSummary::default()
    }
}

#[test]
fn the_engine_with_the_least_expected_cost_is_chosen() {
    let loaded = || summary(&["a"], 0, Some(1.0), 0);
    let cases = [
        ("loaded rather than free", summary(&[], 8, None, 0), loaded(), 1),
        (
            "free slot rather than eviction",
            summary(&[], 0, Some(1.0), 0),
            summary(&[], 1, None, 0),
            1,
        ),
        ("least wanted victim", summary(&[], 0, Some(5.0), 0), summary(&[], 0, Some(0.1), 0), 1),
        (
            "idle victim rather than none",
            summary(&[], 0, None, 0),
            summary(&[], 0, Some(3.0), 0),
            1,
        ),
        (
            "free slot rather than a long queue",
            summary(&["a"], 0, None, 40),
            summary(&[], 1, None, 0),
            1,
        ),
        ("first of equal homes", loaded(), loaded(), 0),
    ];
    for (name, first, second, expected) in cases {
        let chosen = routing::choose_engine(&adapter("a"), &[&first, &second], 100);
        assert_eq!(chosen, Some(expected), "{name}");
    }
    assert_eq!(routing::choose_engine(&adapter("a"), &[], 50), None);
}

#[test]
fn a_preset_that_weighs_batches_prefers_the_fuller_one() {
    let empty = summary(&["a"], 0, None, 0);
    let half_full = summary(&["a"], 0, None, 8);
    assert_eq!(routing::choose_engine(&adapter("a"), &[&empty, &half_full], 100), Some(0));
    assert_eq!(routing::choose_engine(&adapter("a"), &[&empty, &half_full], 0), Some(1));
}

#[test]
fn the_top_ranked_engines_match_the_full_ranking() {
    let engines: Vec<ListedBackend> = (0..50).map(engine).collect();
    let mut reversed = engines.clone();
    reversed.reverse();
    for number in 0..200 {
        let adapter = AdapterName::new(&format!("adapter-{number}"));
        let ranked = routing::rank_engines(&adapter, engines.clone());
        for count in [0, 1, 2, 3, 50, 60] {
            let first = routing::top_ranked_engines(&adapter, &reversed, count);
            let expected: Vec<&ListedBackend> = ranked.iter().take(count).collect();
            assert_eq!(first, expected, "top {count} engines for {adapter}");
        }
    }
}

#[test]
fn an_engine_that_leaves_moves_only_its_own_adapters() {
    let engines: Vec<ListedBackend> = (0..12).map(engine).collect();
    for number in 0..200 {
        let adapter = AdapterName::new(&format!("adapter-{number}"));
        let before = routing::top_ranked_engines(&adapter, &engines, 1)[0];
        let after = routing::top_ranked_engines(&adapter, &engines[1..], 1)[0];
        assert!(
            before == after || before == &engines[0],
            "{adapter} moved, although its engine stayed"
        );
    }
}

#[test]
fn the_longest_load_wait_falls_with_the_stall_weight_and_never_exceeds_the_time_left() {
    let left = Duration::from_secs(8);
    let load_waits: Vec<Duration> =
        [0, 30, 50, 80, 100, 255].map(|weight| admission::max_load_wait(left, weight)).to_vec();
    assert_eq!(load_waits[0], left);
    assert!(load_waits.is_sorted_by(|a, b| a >= b), "{load_waits:?}");
    assert!(load_waits.iter().all(|load_wait| *load_wait > Duration::ZERO));
}

#[test]
fn demand_halves_and_stays_within_its_capacity() {
    let mut demand = DemandCounters::new(Duration::from_secs(60), 10);
    for _ in 0..8 {
        demand.record(Timestamp::ZERO, &adapter("hot"));
    }
    let later = Timestamp::from_millis(60_000);
    assert!((demand.count(later, &adapter("hot")) - 4.0).abs() < 1e-9);
    for number in 0..1000 {
        demand.record(later, &adapter(&format!("rare-{number}")));
        assert!(demand.len() <= 20, "{} adapters are tracked", demand.len());
    }
    assert!(demand.count(later, &adapter("hot")) > 3.9, "the hot adapter was forgotten");
    assert!(demand.rate(later, &adapter("hot")) > 0.0);
}

#[test]
fn retries_never_exceed_their_share_of_the_load() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.on_first_try();
        for _ in 0..5 {
            retries += u32::from(budget.take());
        }
    }
    assert!((100..=110).contains(&retries), "{retries} retries of 1000 requests");
}

//! The number of replicas that should hold an adapter, by demand.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::traffic::AdapterHomes;

use crate::support::at;
use crate::support::key;

const REPLICAS: usize = 90;

#[test]
fn a_rare_adapter_has_one_home_and_the_next_replicas_are_probed_too() {
    let homes = AdapterHomes::default();
    assert_eq!(homes.width(at(0), &key("a")), 1);
    assert_eq!(homes.probe_order(at(0), &key("a"), REPLICAS, 77), [0, 1, 2]);
    assert_eq!(homes.probe_order(at(0), &key("a"), 2, 77), [0, 1]);
    assert_eq!(homes.probe_order(at(0), &key("a"), 0, 77), Vec::<usize>::new());
}

/// Guards against one home for an adapter with a fifth of all requests.
#[test]
fn the_width_doubles_while_all_homes_are_busy_and_halves_again() {
    let mut homes = AdapterHomes::default();
    let mut width = 1;
    for _ in 0..5 {
        let further = homes.widen(at(0), &key("hot"), REPLICAS, 12_345);
        assert!((width..2 * width).contains(&further), "{further} of {width}");
        width *= 2;
        assert_eq!(homes.width(at(0), &key("hot")), width);
    }
    for _ in 0..5 {
        homes.widen(at(0), &key("hot"), REPLICAS, 12_345);
    }
    assert_eq!(homes.width(at(0), &key("hot")), REPLICAS);
    assert_eq!(homes.width(at(4500), &key("hot")), REPLICAS / 2);
    assert_eq!(homes.width(at(60_000), &key("hot")), 1);
    assert_eq!(homes.width(at(0), &key("cold")), 1);
}

#[test]
fn requests_for_a_hot_adapter_spread_evenly_over_its_homes() {
    let mut homes = AdapterHomes::default();
    homes.on_peer_width(at(0), &key("hot"), 16);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut firsts: BTreeMap<usize, usize> = BTreeMap::new();
    for _ in 0..1600 {
        let probes = homes.probe_order(at(0), &key("hot"), REPLICAS, rng.random());
        assert_ne!(probes[0], probes[1]);
        assert!(probes.contains(&0), "the first home surely holds the adapter");
        *firsts.entry(probes[0]).or_default() += 1;
    }
    assert_eq!(firsts.len(), 16);
    assert!(firsts.values().all(|count| (50..200).contains(count)), "{firsts:?}");
}

#[test]
fn instances_adopt_a_larger_width_from_each_other() {
    let mut homes = AdapterHomes::default();
    homes.on_peer_width(at(0), &key("hot"), 8);
    homes.on_peer_width(at(100), &key("hot"), 2);
    assert_eq!(homes.width(at(200), &key("hot")), 8);
}

#[test]
fn the_number_of_tracked_widths_is_bounded() {
    let mut homes = AdapterHomes::default();
    for number in 0..2000 {
        homes.on_peer_width(at(0), &key(&format!("a{number}")), 4);
    }
    let known = (0..2000).filter(|n| homes.width(at(0), &key(&format!("a{n}"))) > 1).count();
    assert!(known <= 512, "{known}");
    homes.on_peer_width(at(9000), &key("new"), 4);
    assert_eq!(homes.width(at(9000), &key("new")), 4, "widths that were halved make room");
}

#[test]
fn the_typical_number_of_requests_follows_its_samples() {
    let mut homes = AdapterHomes::default();
    homes.on_replica_requests(10);
    assert!((homes.typical_requests() - 10.0).abs() < 1e-9);
    for _ in 0..200 {
        homes.on_replica_requests(20);
    }
    assert!((19.0..=20.0).contains(&homes.typical_requests()));
}

/// Guards against prompts that are read again elsewhere whenever the demand for an adapter changes.
#[test]
fn most_prompts_keep_their_first_home_when_the_width_doubles() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let homes_of = |width: usize, pick: u64| {
        let mut homes = AdapterHomes::default();
        homes.on_peer_width(at(0), &key("hot"), width);
        homes.probe_order(at(0), &key("hot"), REPLICAS, pick)[0]
    };
    let picks: Vec<u64> = (0..400).map(|_| rng.random()).collect();
    let kept = picks.iter().filter(|pick| homes_of(8, **pick) == homes_of(16, **pick)).count();
    assert!((150..250).contains(&kept), "{kept} of 400, a half is expected");
}

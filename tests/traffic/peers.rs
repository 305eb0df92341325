//! Instances that find each other from a few seeds.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use tamaracklead::decide::traffic::PeerRecord;
use tamaracklead::decide::traffic::Peers;
use tamaracklead::names::InstanceName;

use crate::support::at;

const ROUND_MS: u64 = 350;

fn addr(index: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 9000 + index).parse().unwrap()
}

fn record(index: usize, started_ms: u64) -> PeerRecord {
    PeerRecord {
        name: InstanceName::new(&format!("entry-{index}")),
        addr: addr(index),
        started_ms,
        beat: 0,
        settled: true,
        draining: false,
    }
}

struct Fleet {
    peers: Vec<Peers>,
    down: BTreeSet<usize>,
    now: u64,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let seeds = vec![addr(0), addr(1)];
        let peers = (0..size).map(|index| Peers::new(record(index, 1), seeds.clone())).collect();
        Self { peers, down: BTreeSet::new(), now: 0 }
    }

    fn run(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.now += ROUND_MS;
            for index in 0..self.peers.len() {
                if !self.down.contains(&index) {
                    self.round_of(index);
                }
            }
        }
    }

    fn round_of(&mut self, index: usize) {
        let now = at(self.now);
        for target in self.peers[index].next_round(now) {
            let other = usize::from(target.port()) - 9000;
            if other == index || other >= self.peers.len() || self.down.contains(&other) {
                continue;
            }
            let asked = self.peers[index].records(now);
            self.peers[other].on_records(now, asked);
            let answer = self.peers[other].records(now);
            self.peers[index].on_records(now, answer);
        }
    }

    fn live(&self, index: usize) -> usize {
        self.peers[index].live(at(self.now)).count()
    }

    fn preferred(&self, index: usize, replica: &str) -> String {
        self.peers[index].preferred(at(self.now), replica).unwrap().to_string()
    }
}

#[test]
fn everybody_finds_everybody_from_two_seeds() {
    for size in [1, 2, 9, 60] {
        let mut fleet = Fleet::new(size);
        fleet.run(12);
        for index in 0..size {
            assert_eq!(fleet.live(index), size - 1, "entry-{index} of {size}");
        }
    }
}

#[test]
fn all_agree_on_who_orders_a_replica_and_on_a_successor() {
    let mut fleet = Fleet::new(9);
    fleet.run(12);
    for replica in ["r1", "r2", "r3", "r4"] {
        let chosen: BTreeSet<String> = (0..9).map(|i| fleet.preferred(i, replica)).collect();
        assert_eq!(chosen.len(), 1, "{replica}: {chosen:?}");
    }
    let gone: usize = fleet.preferred(0, "r1")["entry-".len()..].parse().unwrap();
    fleet.down.insert(gone);
    fleet.run(12);
    let left: Vec<usize> = (0..9).filter(|index| *index != gone).collect();
    let chosen: BTreeSet<String> = left.iter().map(|i| fleet.preferred(*i, "r1")).collect();
    assert_eq!(chosen.len(), 1);
    assert!(!chosen.contains(&format!("entry-{gone}")));
}

#[test]
fn an_instance_that_hears_of_nobody_gives_no_orders() {
    let mut fleet = Fleet::new(9);
    fleet.run(12);
    assert!((0..9).all(|index| fleet.peers[index].has_view(at(fleet.now))));
    fleet.down.extend(1..9);
    fleet.run(8);
    assert!(!fleet.peers[0].has_view(at(fleet.now)));
}

#[test]
fn any_number_may_be_lost_for_good() {
    let mut fleet = Fleet::new(9);
    fleet.run(12);
    fleet.down.extend(1..9);
    fleet.run(60);
    assert!(fleet.peers[0].has_view(at(fleet.now)));
    assert_eq!(fleet.preferred(0, "r1"), "entry-0");
}

#[test]
fn one_that_leaves_or_has_just_started_is_not_preferred_while_others_are_there() {
    let now = at(1000);
    let mut peers = Peers::new(record(0, 1), Vec::new());
    let mut leaving = record(1, 1);
    leaving.draining = true;
    let mut young = record(2, 60_000);
    young.settled = false;
    peers.on_records(now, vec![leaving, young]);
    for replica in ["r1", "r2", "r3", "r4", "r5", "r6"] {
        assert_eq!(peers.preferred(now, replica).unwrap().as_str(), "entry-0");
    }
}

#[test]
fn old_records_do_not_revive_an_instance() {
    let mut peers = Peers::new(record(0, 1), Vec::new());
    let mut other = record(1, 5);
    other.beat = 10;
    peers.on_records(at(0), vec![other.clone()]);
    let mut older = record(1, 4);
    older.beat = 99;
    peers.on_records(at(3000), vec![older, other]);
    assert_eq!(peers.live(at(3000)).count(), 0);
}

#[test]
fn a_pause_does_not_make_the_others_look_gone() {
    let mut peers = Peers::new(record(0, 1), Vec::new());
    peers.on_records(at(0), vec![record(1, 1), record(2, 1)]);
    assert_eq!(peers.live(at(9000)).count(), 0);
    peers.on_pause(at(9000));
    assert_eq!(peers.live(at(9000)).count(), 2);
}

/// All instances start again at once; the first that settles must not take every replica's
/// orders from those that have watched them since.
#[test]
fn instances_that_started_together_are_preferred_alike() {
    let now = at(1000);
    let mut me = record(0, 100_000);
    me.settled = false;
    let mut peers = Peers::new(me, Vec::new());
    let mut others: Vec<PeerRecord> = (1..6).map(|index| record(index, 100_300)).collect();
    for other in &mut others {
        other.settled = false;
    }
    peers.on_records(now, others.clone());
    let replicas: Vec<String> = (0..20).map(|index| format!("r{index}")).collect();
    let chosen = |peers: &Peers| -> Vec<String> {
        replicas.iter().map(|r| peers.preferred(now, r).unwrap().to_string()).collect()
    };
    let before = chosen(&peers);
    others[0].settled = true;
    others[0].beat += 1;
    peers.on_records(now, others);
    assert_eq!(chosen(&peers), before);
}

//! Membership of the entry instances by gossip, from a few seeds.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use tamaracklead::decide::traffic::Beats;
use tamaracklead::decide::traffic::PeerGossip;
use tamaracklead::decide::traffic::PeerRecord;
use tamaracklead::decide::traffic::Peers;
use tamaracklead::decide::traffic::Receiver;
use tamaracklead::names::DataCentre;
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
        heartbeat: 0,
        settled: true,
        draining: false,
        data_centre: None,
        reads_beats: true,
        cut_from: Vec::new(),
        gives_no_orders: false,
        link_mbps: 0,
    }
}

fn gossip_of(records: Vec<PeerRecord>) -> PeerGossip {
    PeerGossip {
        records,
        heartbeats: Vec::new(),
        needs_all_records: false,
        roster: 0,
        beats: Beats::None,
    }
}

fn all(needs_all_records: bool) -> Receiver {
    Receiver { reads_beats: true, needs_all_records, ..Receiver::default() }
}

struct Fleet {
    peers: Vec<Peers>,
    bytes: usize,
    /// Calls between data centres.
    far_calls: usize,
    down: BTreeSet<usize>,
    /// Instances that reach only each other.
    cut: BTreeSet<usize>,
    now: u64,
}

impl Fleet {
    fn new(size: usize) -> Self {
        Self::of((0..size).map(|index| record(index, 1)).collect())
    }

    /// A fleet in which each instance is in one of `data_centres`.
    fn in_data_centres(size: usize, data_centres: usize) -> Self {
        let place = |index: usize| Some(DataCentre::new(&format!("dc-{}", index % data_centres)));
        let with_place = |index| PeerRecord { data_centre: place(index), ..record(index, 1) };
        Self::of((0..size).map(with_place).collect())
    }

    fn of(records: Vec<PeerRecord>) -> Self {
        let seeds = vec![addr(0), addr(1)];
        let peers = records.into_iter().map(|r| Peers::new(r, seeds.clone())).collect();
        Self { peers, bytes: 0, far_calls: 0, down: BTreeSet::new(), cut: BTreeSet::new(), now: 0 }
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
            if self.cut.contains(&index) != self.cut.contains(&other) {
                continue;
            }
            let place = |index: usize| self.peers[index].me().data_centre.clone();
            self.far_calls += usize::from(place(index) != place(other));
            let receiver = self.peers[index].receiver_at(now, target);
            let request = self.peers[index].gossip(now, &receiver);
            let sender = self.peers[other].sender_of(&request);
            self.bytes += rmp_serde::to_vec_named(&request).unwrap().len();
            self.peers[other].on_gossip(now, request);
            let reply = self.peers[other].gossip(now, &sender);
            self.bytes += rmp_serde::to_vec_named(&reply).unwrap().len();
            self.peers[index].on_gossip(now, reply);
        }
    }

    fn live(&self, index: usize) -> usize {
        self.peers[index].live(at(self.now)).count()
    }

    fn preferred_owner(&mut self, index: usize, replica: &str) -> String {
        self.peers[index].preferred_owner(at(self.now), replica).unwrap().to_string()
    }
}

#[test]
fn all_instances_find_each_other_from_two_seeds() {
    for size in [1, 2, 9, 60] {
        let mut fleet = Fleet::new(size);
        fleet.run(12);
        for index in 0..size {
            assert_eq!(fleet.live(index), size - 1, "entry-{index} of {size}");
        }
    }
}

#[test]
fn all_instances_agree_on_the_owner_of_a_replica_and_on_its_successor() {
    let mut fleet = Fleet::new(9);
    fleet.run(12);
    for replica in ["r1", "r2", "r3", "r4"] {
        let chosen: BTreeSet<String> = (0..9).map(|i| fleet.preferred_owner(i, replica)).collect();
        assert_eq!(chosen.len(), 1, "{replica}: {chosen:?}");
    }
    let gone: usize = fleet.preferred_owner(0, "r1")["entry-".len()..].parse().unwrap();
    fleet.down.insert(gone);
    fleet.run(12);
    let left: Vec<usize> = (0..9).filter(|index| *index != gone).collect();
    let chosen: BTreeSet<String> = left.iter().map(|i| fleet.preferred_owner(*i, "r1")).collect();
    assert_eq!(chosen.len(), 1);
    assert!(!chosen.contains(&format!("entry-{gone}")));
}

#[test]
fn an_instance_cut_off_from_the_others_gives_no_orders() {
    let mut fleet = Fleet::new(9);
    fleet.run(12);
    assert!((0..9).all(|index| fleet.peers[index].sees_enough_peers(at(fleet.now))));
    fleet.down.extend(1..9);
    fleet.run(8);
    assert!(!fleet.peers[0].sees_enough_peers(at(fleet.now)));
}

#[test]
fn the_last_live_instance_gives_orders_again_after_all_others_are_lost_for_good() {
    let mut fleet = Fleet::new(9);
    fleet.run(12);
    fleet.down.extend(1..9);
    fleet.run(60);
    assert!(fleet.peers[0].sees_enough_peers(at(fleet.now)));
    assert_eq!(fleet.preferred_owner(0, "r1"), "entry-0");
}

/// Guards against two instances of one rank for a replica, on the two sides of a split fleet.
#[test]
fn ranks_of_owners_count_instances_that_are_not_live_but_not_those_that_drain() {
    let mut fleet = Fleet::new(9);
    fleet.run(12);
    let ranks = |fleet: &Fleet| -> Vec<usize> {
        fleet.peers.iter().map(|peers| peers.owner_rank("r1")).collect()
    };
    let before = ranks(&fleet);
    let sorted: BTreeSet<usize> = before.iter().copied().collect();
    assert_eq!(sorted, (0..9).collect());
    let first = before.iter().position(|rank| *rank == 0).unwrap();
    assert_eq!(fleet.preferred_owner(0, "r1"), format!("entry-{first}"));
    fleet.down.insert(first);
    fleet.run(12);
    assert_ne!(fleet.preferred_owner((first + 1) % 9, "r1"), format!("entry-{first}"));
    assert_eq!(ranks(&fleet), before);
    fleet.down.clear();
    fleet.peers[first].set_draining();
    fleet.run(12);
    let second = before.iter().position(|rank| *rank == 1).unwrap();
    assert_eq!(fleet.peers[second].owner_rank("r1"), 0);
}

#[test]
fn an_instance_that_drains_or_has_just_started_owns_nothing_while_others_are_live() {
    let now = at(1000);
    let mut peers = Peers::new(record(0, 1), Vec::new());
    let mut draining = record(1, 1);
    draining.draining = true;
    let mut unsettled = record(2, 60_000);
    unsettled.settled = false;
    peers.on_gossip(now, gossip_of(vec![draining, unsettled]));
    for replica in ["r1", "r2", "r3", "r4", "r5", "r6"] {
        assert_eq!(peers.preferred_owner(now, replica).unwrap().as_str(), "entry-0");
    }
}

#[test]
fn outdated_records_do_not_make_an_instance_live_again() {
    let mut peers = Peers::new(record(0, 1), Vec::new());
    let mut other = record(1, 5);
    other.heartbeat = 10;
    peers.on_gossip(at(0), gossip_of(vec![other.clone()]));
    let mut older = record(1, 4);
    older.heartbeat = 99;
    peers.on_gossip(at(3000), gossip_of(vec![older, other]));
    assert_eq!(peers.live(at(3000)).count(), 0);
}

#[test]
fn a_pause_of_this_process_does_not_make_the_others_count_as_gone() {
    let mut peers = Peers::new(record(0, 1), Vec::new());
    peers.on_gossip(at(0), gossip_of(vec![record(1, 1), record(2, 1)]));
    assert_eq!(peers.live(at(9000)).count(), 0);
    peers.on_pause(at(9000));
    assert_eq!(peers.live(at(9000)).count(), 2);
}

/// Guards against a restart of all instances at once in which the first one that settles takes
/// every replica's orders from those that have waited for their leases since.
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
    peers.on_gossip(now, gossip_of(others.clone()));
    let replicas: Vec<String> = (0..20).map(|index| format!("r{index}")).collect();
    let chosen = |peers: &mut Peers| -> Vec<String> {
        replicas.iter().map(|r| peers.preferred_owner(now, r).unwrap().to_string()).collect()
    };
    let before = chosen(&mut peers);
    others[0].settled = true;
    others[0].heartbeat += 1;
    peers.on_gossip(now, gossip_of(others));
    assert_eq!(chosen(&mut peers), before);
}

/// Guards against messages that grow with whole records: heartbeats alone keep a settled fleet
/// live.
#[test]
fn a_settled_fleet_sends_heartbeats_instead_of_records() {
    const SIZE: usize = 90;
    const MESSAGES: usize = 6;
    let mut fleet = Fleet::new(SIZE);
    fleet.run(20);
    fleet.bytes = 0;
    fleet.run(20);
    assert!((0..SIZE).all(|index| fleet.live(index) == SIZE - 1));
    let each = fleet.bytes / (20 * MESSAGES * SIZE);
    assert!(each < 20 * SIZE, "{each} bytes a message");
}

#[test]
fn an_instance_that_gets_an_unknown_tag_asks_for_all_records() {
    let mut peers = Peers::new(record(0, 1), Vec::new());
    peers.on_gossip(at(0), gossip_of(vec![record(1, 1)]));
    assert!(!peers.gossip(at(0), &all(false)).needs_all_records);
    let heartbeats = vec![(record(2, 1).tag(), 7)];
    let gossip = PeerGossip { heartbeats, ..gossip_of(vec![record(1, 1)]) };
    peers.on_gossip(at(10), gossip);
    assert!(peers.gossip(at(10), &all(false)).needs_all_records);
    assert_eq!(peers.live(at(10)).count(), 1);
    let mut other = Peers::new(record(1, 1), Vec::new());
    other.on_gossip(at(0), gossip_of(vec![record(2, 1)]));
    assert_eq!(
        other.gossip(at(1900), &all(false)).records.len(),
        1,
        "the other is sent by its tag and heartbeat"
    );
    peers.on_gossip(at(1900), other.gossip(at(1900), &all(true)));
    assert!(!peers.gossip(at(1900), &all(false)).needs_all_records);
    assert_eq!(peers.live(at(1900)).count(), 2);
}

#[test]
fn a_restarted_instance_is_not_kept_live_by_its_old_heartbeats() {
    let mut peers = Peers::new(record(0, 1), Vec::new());
    peers.on_gossip(at(0), gossip_of(vec![record(1, 1)]));
    let old = (record(1, 1).tag(), 99);
    peers.on_gossip(at(100), gossip_of(vec![record(1, 60_000)]));
    let gossip = PeerGossip { heartbeats: vec![old], ..gossip_of(vec![record(2, 1)]) };
    peers.on_gossip(at(3000), gossip);
    assert_eq!(peers.live(at(3000)).count(), 1, "only the sender is live");
}

/// Guards against too many or no readers of the published state: in any fleet there are a few,
/// and others replace those that leave.
#[test]
fn a_few_instances_read_the_published_state_and_are_replaced() {
    let mut fleet = Fleet::new(60);
    fleet.run(14);
    let readers = |fleet: &Fleet| -> Vec<usize> {
        let all = (0..60).filter(|index| !fleet.down.contains(index));
        all.filter(|index| fleet.peers[*index].reads_published(at(fleet.now))).collect()
    };
    let first = readers(&fleet);
    assert!((3..=6).contains(&first.len()), "{first:?}");
    fleet.down.extend(first.iter().copied());
    fleet.run(14);
    let next = readers(&fleet);
    assert!((3..=6).contains(&next.len()), "{next:?}");
    let mut alone = Fleet::new(1);
    alone.run(1);
    assert!(alone.peers[0].reads_published(at(alone.now)));
}

/// Guards against control traffic that grows with the fleet faster than one byte an instance.
#[test]
fn a_settled_fleet_of_hundreds_sends_one_byte_for_each_instance() {
    const SIZE: usize = 420;
    let mut fleet = Fleet::in_data_centres(SIZE, 5);
    fleet.run(14);
    assert!((0..SIZE).all(|index| fleet.live(index) == SIZE - 1));
    (fleet.bytes, fleet.far_calls) = (0, 0);
    fleet.run(6);
    assert!((0..SIZE).all(|index| fleet.live(index) == SIZE - 1));
    let calls = 6 * SIZE * 3;
    assert!(fleet.bytes < 2 * calls * (SIZE + 300), "{} bytes", fleet.bytes);
    assert!(fleet.far_calls < 6 * 5 * 60, "{} calls between data centres", fleet.far_calls);
}

#[test]
fn the_loss_of_most_instances_at_once_is_known_to_all_others_in_time() {
    const SIZE: usize = 195;
    let mut fleet = Fleet::in_data_centres(SIZE, 6);
    fleet.run(20);
    fleet.down.extend((0..SIZE).filter(|index| index % 5 < 3));
    // The last heartbeats of the lost ones spread for up to five rounds, and count for 2 s.
    fleet.run(11);
    let left: Vec<usize> = (0..SIZE).filter(|index| !fleet.down.contains(index)).collect();
    for index in &left {
        assert_eq!(fleet.live(*index), left.len() - 1, "entry-{index}");
    }
    let owners: BTreeSet<String> = left.iter().map(|i| fleet.preferred_owner(*i, "r1")).collect();
    assert_eq!(owners.len(), 1);
}

#[test]
fn a_data_centre_that_was_cut_off_is_found_again() {
    const SIZE: usize = 120;
    let mut fleet = Fleet::in_data_centres(SIZE, 4);
    fleet.run(20);
    fleet.cut.extend((0..SIZE).filter(|index| index % 4 == 1));
    fleet.run(30);
    assert_eq!((fleet.live(1), fleet.live(0)), (29, 89));
    fleet.cut.clear();
    fleet.run(12);
    assert!((0..SIZE).all(|index| fleet.live(index) == SIZE - 1));
}

#[test]
fn no_instance_is_taken_for_lost_while_hundreds_live() {
    const SIZE: usize = 195;
    let mut fleet = Fleet::in_data_centres(SIZE, 6);
    fleet.run(16);
    for _ in 0..25 {
        fleet.run(1);
        let lost: usize = (0..SIZE).map(|index| SIZE - 1 - fleet.live(index)).sum();
        assert_eq!(lost, 0);
    }
}

/// Guards against a rollout in which older processes, which read no compact heartbeats, take the
/// newer ones for lost, or the other way round.
#[test]
fn older_and_newer_processes_keep_each_other_live() {
    const SIZE: usize = 60;
    let older = |index: usize| index.is_multiple_of(2);
    let records =
        (0..SIZE).map(|index| PeerRecord { reads_beats: !older(index), ..record(index, 1) });
    let mut fleet = Fleet::of(records.collect());
    fleet.run(20);
    for _ in 0..20 {
        fleet.run(1);
        assert!((0..SIZE).all(|index| fleet.live(index) == SIZE - 1));
    }
    let to_older = fleet.peers[1].gossip(at(fleet.now), &Receiver::default());
    assert_eq!((to_older.roster, &to_older.beats), (0, &Beats::None));
    assert!(!to_older.heartbeats.is_empty());
}

#[test]
fn a_message_of_an_older_process_can_be_read() {
    #[derive(serde::Serialize)]
    struct OlderRecord {
        name: &'static str,
        addr: SocketAddr,
        started_ms: u64,
        beat: u64,
        settled: bool,
        draining: bool,
    }
    #[derive(serde::Serialize)]
    struct OlderGossip {
        records: Vec<OlderRecord>,
        beats: Vec<(u32, u64)>,
        lacks: bool,
    }
    let addr = addr(1);
    let sender = OlderRecord {
        name: "entry-1",
        addr,
        started_ms: 1,
        beat: 4,
        settled: true,
        draining: false,
    };
    let gossip = OlderGossip { records: vec![sender], beats: vec![(7, 9)], lacks: true };
    let bytes = rmp_serde::to_vec_named(&gossip).unwrap();
    let read: PeerGossip = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!((read.heartbeats.as_slice(), read.beats), ([(7, 9)].as_slice(), Beats::None));
}

#[test]
fn a_large_fleet_tells_its_work_within_data_centres_and_a_small_one_to_all() {
    for (size, far_hears) in [(9, true), (60, false)] {
        let mut fleet = Fleet::in_data_centres(size, 3);
        fleet.run(14);
        let now = at(fleet.now);
        let hears = |other: usize| {
            let receiver = fleet.peers[0].receiver_at(now, addr(other));
            fleet.peers[0].hears_work(now, &receiver)
        };
        assert!(hears(3), "entry-3 is in the same data centre");
        assert_eq!(hears(1), far_hears, "{size} instances");
    }
}

/// Guards against instances that are never called again, since only every third round calls one and
/// their number is a multiple of three.
#[test]
fn a_large_fleet_calls_each_instance_that_is_not_live_in_turn() {
    let mut fleet = Fleet::in_data_centres(40, 4);
    fleet.run(14);
    fleet.down.extend([5, 6, 7]);
    fleet.run(12);
    let mut called = BTreeSet::new();
    for _ in 0..12 {
        fleet.run(1);
        called.extend(fleet.peers[0].clone().next_round(at(fleet.now)));
    }
    assert!([5, 6, 7].iter().all(|index| called.contains(&addr(*index))), "{called:?}");
}

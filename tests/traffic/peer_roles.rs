//! Instances that others can't call.

use std::net::SocketAddr;

use tamaracklead::decide::listening::FleetRole;
use tamaracklead::decide::traffic::PeerRecord;
use tamaracklead::decide::traffic::Peers;
use tamaracklead::decide::traffic::Receiver;
use tamaracklead::decide::traffic::StreamKey;
use tamaracklead::names::InstanceName;
use tamaracklead::names::ServiceName;

use crate::support::at;

/// Replicas whose owners are compared.
const REPLICAS: usize = 200;

fn addr(index: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 9000 + index).parse().unwrap()
}

fn record(index: usize) -> PeerRecord {
    PeerRecord {
        name: InstanceName::new(&format!("entry-{index}")),
        addr: addr(index),
        started_ms: 1,
        heartbeat: 1,
        settled: true,
        draining: false,
        data_centre: None,
        reads_beats: true,
        cut_from: Vec::new(),
        gives_no_orders: false,
        link_mbps: 0,
    }
}

fn fleet(size: usize) -> Vec<Peers> {
    (0..size).map(|index| Peers::new(record(index), Vec::new())).collect()
}

/// Each tells each other one what it knows, some times.
fn exchange(fleet: &mut [Peers], now_ms: u64) {
    let to = Receiver { reads_beats: true, needs_all_records: true, ..Receiver::default() };
    for round in 0..3 {
        let now = at(now_ms + round * 350);
        for sender in 0..fleet.len() {
            fleet[sender].next_round(now);
            let message = fleet[sender].gossip(now, &to);
            for (receiver, peers) in fleet.iter_mut().enumerate() {
                // A message without a sender's record is passed over.
                if receiver != sender && !message.records.is_empty() {
                    peers.on_gossip(now, message.clone());
                }
            }
        }
    }
}

fn owns(peers: &mut Peers, now_ms: u64, name: &str) -> usize {
    let replicas = (0..REPLICAS).map(|number| format!("i-{number}"));
    let owned = replicas.filter(|replica| {
        peers.preferred_owner(at(now_ms), replica).is_some_and(|owner| owner.as_str() == name)
    });
    owned.count()
}

/// Guards against replicas whose owner nobody can ask for loads, and against what else others would
/// rely on.
#[test]
fn nobody_relies_on_an_instance_that_can_not_be_called() {
    let mut all = fleet(4);
    all[3].set_role(FleetRole::Limited);
    exchange(&mut all, 1000);
    let now = at(2000);
    for peers in &mut all {
        assert_eq!(owns(peers, 2000, "entry-3"), 0);
    }
    for peers in &all[..3] {
        assert!(peers.is_live(now, &InstanceName::new("entry-3")), "its requests count");
        let reach = peers.that_reach(now, &ServiceName::new("models"));
        assert!(reach.iter().all(|candidate| candidate.addr != addr(3)));
        let others = peers.witnesses(now, StreamKey::new("s-1"), 2);
        assert!(!others.contains(&addr(3)), "{others:?}");
    }
    assert!(!all[3].is_among_first(now, "part", 10), "the others don't count it");
}

/// Guards against an instance that tells others of itself while another process runs under its name.
#[test]
fn an_observer_learns_of_others_and_tells_nothing() {
    let mut all = fleet(3);
    all[2].set_role(FleetRole::Observer);
    exchange(&mut all, 1000);
    let now = at(2000);
    assert_eq!(all[2].live(now).count(), 2);
    assert_eq!(owns(&mut all[2], 2000, "entry-2"), 0);
    for peers in &all[..2] {
        assert!(!peers.is_live(now, &InstanceName::new("entry-2")));
    }
}

/// Guards against adapters that nobody loads, and against two processes of an instance that both give
/// orders.
#[test]
fn an_instance_that_is_alone_gives_orders_unless_another_process_may_run_under_its_name() {
    let owned = |role| {
        let mut peers = Peers::new(record(0), Vec::new());
        peers.set_role(role);
        owns(&mut peers, 1000, "entry-0")
    };
    assert_eq!(owned(FleetRole::Full), REPLICAS);
    assert_eq!(owned(FleetRole::Limited), REPLICAS);
    assert_eq!(owned(FleetRole::Observer), 0);
}

/// Guards against an instance that goes on to give orders after others have come, or in its shutdown.
#[test]
fn an_instance_that_can_not_be_called_leaves_its_replicas_to_the_first_that_can() {
    let mut all = fleet(2);
    all[0].set_role(FleetRole::Limited);
    assert_eq!(owns(&mut all[0], 500, "entry-0"), REPLICAS);
    exchange(&mut all, 1000);
    assert_eq!(owns(&mut all[0], 2000, "entry-1"), REPLICAS);
    let mut alone = Peers::new(record(0), Vec::new());
    alone.set_role(FleetRole::Limited);
    alone.set_draining();
    assert_eq!(owns(&mut alone, 1000, "entry-0"), 0);
}

/// Guards against an instance that stays without a role once others can call it, or gets one in its
/// shutdown.
#[test]
fn an_instance_that_can_be_called_again_takes_its_role_unless_it_shuts_down() {
    let mut all = fleet(2);
    all[0].set_role(FleetRole::Limited);
    exchange(&mut all, 1000);
    all[0].set_role(FleetRole::Full);
    exchange(&mut all, 3000);
    assert!(owns(&mut all[1], 4000, "entry-0") > 0);
    all[0].set_draining();
    all[0].set_role(FleetRole::Limited);
    all[0].set_role(FleetRole::Full);
    assert!(all[0].me().draining);
}

/// Guards against a further instance that reads the published state for all, which nobody can ask for it.
#[test]
fn an_instance_that_can_not_be_called_does_not_read_the_published_state_for_all() {
    let mut all = fleet(8);
    for index in 0..8 {
        all[index].set_role(FleetRole::Limited);
        exchange(&mut all, 1000 + 10_000 * index as u64);
        let now = at(2100 + 10_000 * index as u64);
        assert!(!all[index].reads_published(now), "entry-{index} reads");
        all[index].set_role(FleetRole::Full);
    }
}

//! Single decisions: when an instance counts as cut off, and which other one it chooses.

use std::net::SocketAddr;
use std::time::Duration;

use tamaracklead::decide::reach::PassOnCandidate;
use tamaracklead::decide::reach::PassOnPeers;
use tamaracklead::decide::reach::ServiceReach;
use tamaracklead::decide::traffic::Beats;
use tamaracklead::decide::traffic::PeerGossip;
use tamaracklead::decide::traffic::PeerRecord;
use tamaracklead::decide::traffic::Peers;
use tamaracklead::names::BackendName;
use tamaracklead::names::InstanceName;
use tamaracklead::names::ServiceName;
use tamaracklead::names::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn fail(reach: &mut ServiceReach, ms: u64, replica: &str, replicas: usize) -> bool {
    reach.on_unreachable(at(ms), &BackendName::new(replica), replicas)
}

// Guards against an instance that takes itself for cut off since one or two replicas are down.
#[test]
fn a_few_replicas_that_are_down_are_no_cut() {
    let mut reach = ServiceReach::default();
    for ms in 0..20 {
        assert!(!fail(&mut reach, ms * 100, "i-1", 12));
        assert!(!fail(&mut reach, ms * 100 + 50, "i-2", 12));
    }
    assert!(fail(&mut reach, 2000, "i-3", 12));
    assert!(reach.is_cut());
}

#[test]
fn a_connection_in_between_or_a_long_time_forgets_failures() {
    let mut reach = ServiceReach::default();
    fail(&mut reach, 0, "i-1", 12);
    fail(&mut reach, 1, "i-2", 12);
    assert!(!reach.on_connected());
    assert!(!fail(&mut reach, 3, "i-3", 12));
    assert!(!fail(&mut reach, 5000, "i-4", 12));
    assert!(!fail(&mut reach, 5001, "i-5", 12));
}

// Guards against a service of one or two replicas that can never count as out of reach.
#[test]
fn a_small_service_is_out_of_reach_when_all_its_replicas_are() {
    let mut reach = ServiceReach::default();
    assert!(fail(&mut reach, 0, "i-1", 1));
    let mut reach = ServiceReach::default();
    assert!(!fail(&mut reach, 0, "i-1", 2));
    assert!(fail(&mut reach, 1, "i-2", 2));
    assert!(!fail(&mut reach, 2, "i-2", 2), "it has begun before");
    assert!(reach.on_connected());
    assert!(!reach.is_cut());
}

// Guards against trial connections without end or reason.
#[test]
fn connections_are_tried_only_after_failures_and_not_too_often() {
    let mut reach = ServiceReach::default();
    assert!(!reach.should_try(at(0)));
    fail(&mut reach, 0, "i-1", 3);
    assert!(reach.should_try(at(1)));
    assert!(!reach.should_try(at(100)));
    assert!(reach.should_try(at(400)));
    reach.on_connected();
    assert!(!reach.should_try(at(800)));
}

fn candidate(index: usize, is_near: bool) -> PassOnCandidate {
    PassOnCandidate {
        name: InstanceName::new(&format!("e{index}")),
        addr: SocketAddr::from(([127, 0, 0, 1], index as u16)),
        is_near,
    }
}

// Guards against one instance that gets all requests of those that are cut off.
#[test]
fn requests_are_spread_over_all_that_reach_the_replicas() {
    let candidates: Vec<PassOnCandidate> = (0..4).map(|i| candidate(i, i == 0)).collect();
    let mut peers = PassOnPeers::default();
    let mut counts = [0; 4];
    for number in 0..42 {
        let chosen = peers.choose(at(0), &candidates, &format!("r{number}")).unwrap().clone();
        peers.on_begun(&chosen.name);
        counts[candidates.iter().position(|c| *c == chosen).unwrap()] += 1;
    }
    assert_eq!(counts, [12, 10, 10, 10]);
}

// Guards against an instance that is asked again and again although it takes nothing.
#[test]
fn an_instance_that_refused_is_passed_over_for_a_while() {
    let candidates = [candidate(0, true), candidate(1, false)];
    let mut peers = PassOnPeers::default();
    peers.on_unfit(at(0), &candidates[0].name);
    assert_eq!(peers.choose(at(10), &candidates, "r"), Some(&candidates[1]));
    peers.on_unfit(at(10), &candidates[1].name);
    assert_eq!(peers.choose(at(20), &candidates, "r"), None);
    assert_eq!(peers.choose(at(2000), &candidates, "r"), Some(&candidates[0]));
}

// Guards against an instance that is overloaded by the requests of others.
#[test]
fn an_instance_takes_a_bounded_number_of_requests() {
    let mut peers = PassOnPeers::default();
    let taken = (0..1000).filter(|_| peers.try_take(0)).count();
    assert_eq!(taken, 48);
    assert!(peers.try_take(20));
    peers.on_taken_ended();
    assert_eq!(peers.taken(), 48);
}

fn record(name: &str, cut_from: &[&str]) -> PeerRecord {
    PeerRecord {
        name: InstanceName::new(name),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        started_ms: 1,
        heartbeat: 1,
        settled: true,
        draining: false,
        data_centre: None,
        reads_beats: true,
        cut_from: cut_from.iter().map(|name| ServiceName::new(name)).collect(),
        gives_no_orders: !cut_from.is_empty(),
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

// Guards against replicas whose orders nobody can give, as their owner doesn't reach them.
#[test]
fn an_instance_that_is_cut_off_owns_no_replica_while_others_can() {
    let mut peers = Peers::new(record("a", &[]), Vec::new());
    peers.on_gossip(at(0), gossip_of(vec![record("b", &["models"]), record("c", &[])]));
    let owners = |peers: &mut Peers, now| -> Vec<InstanceName> {
        (0..40).filter_map(|i| peers.preferred_owner(now, &format!("i-{i}"))).collect()
    };
    let owned = owners(&mut peers, at(1));
    assert_eq!(owned.len(), 40);
    assert!(!owned.contains(&InstanceName::new("b")));
    assert!(owned.contains(&InstanceName::new("a")) && owned.contains(&InstanceName::new("c")));
    let back = PeerRecord { heartbeat: 2, ..record("b", &[]) };
    peers.on_gossip(at(2), gossip_of(vec![back]));
    assert!(owners(&mut peers, at(3)).contains(&InstanceName::new("b")));
    let all_cut = ["a", "b", "c"].map(|name| PeerRecord { heartbeat: 3, ..record(name, &["m"]) });
    peers.on_gossip(at(4), gossip_of(all_cut.to_vec()));
    peers.set_cut_from(vec![ServiceName::new("m")], true);
    assert_eq!(owners(&mut peers, at(5)).len(), 40);
}

// Guards against requests that are passed on to instances that are cut off too, or shut down.
#[test]
fn only_instances_that_may_reach_the_service_are_candidates() {
    let mut peers = Peers::new(record("a", &["models"]), Vec::new());
    let leaving = PeerRecord { draining: true, ..record("d", &[]) };
    let others = vec![record("b", &["models"]), record("c", &["desk"]), leaving];
    peers.on_gossip(at(0), gossip_of(others));
    let names = |service: &str, now| -> Vec<String> {
        let reach = peers.that_reach(now, &ServiceName::new(service));
        reach.iter().map(|c| c.name.as_str().to_owned()).collect()
    };
    assert_eq!(names("models", at(1)), ["c"]);
    assert_eq!(names("desk", at(1)), ["b"]);
    assert!(names("models", at(1) + Duration::from_secs(5)).is_empty(), "none is live");
}

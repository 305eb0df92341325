//! Numbers in messages of other instances that no instance sends: sums of them neither wrap nor panic.
//!
//! A wrapped sum makes the replica with the most work look idle. One test a field of a message.

use std::time::Duration;

use tamaracklead::decide::traffic::AdapterHomes;
use tamaracklead::decide::traffic::AdapterUses;
use tamaracklead::decide::traffic::Beats;
use tamaracklead::decide::traffic::CacheAnswer;
use tamaracklead::decide::traffic::CacheHolding;
use tamaracklead::decide::traffic::CrashGuard;
use tamaracklead::decide::traffic::DeclaredVersions;
use tamaracklead::decide::traffic::OrderLease;
use tamaracklead::decide::traffic::PeerGossip;
use tamaracklead::decide::traffic::PeerRecord;
use tamaracklead::decide::traffic::Peers;
use tamaracklead::decide::traffic::PrefixTracker;
use tamaracklead::decide::traffic::PromptPart;
use tamaracklead::decide::traffic::PromptTurns;
use tamaracklead::decide::traffic::PublishedEvent;
use tamaracklead::decide::traffic::PublishedItem;
use tamaracklead::decide::traffic::PublishedView;
use tamaracklead::decide::traffic::ReplicaChoice;
use tamaracklead::decide::traffic::Replicas;
use tamaracklead::decide::traffic::RequestNeeds;
use tamaracklead::decide::traffic::Strikes;
use tamaracklead::decide::traffic::TurnId;
use tamaracklead::decide::traffic::UseUpdate;
use tamaracklead::decide::traffic::Workload;
use tamaracklead::names::InstanceName;
use tamaracklead::names::ServiceName;
use tamaracklead::names::SoftwareVersion;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::engine;
use crate::support::entry;
use crate::support::fleet;
use crate::support::key;
use crate::support::ms;
use crate::support::name;
use crate::support::needs;

fn peer(index: usize) -> InstanceName {
    InstanceName::new(&format!("entry-{index}"))
}

/// Replicas r1 and r2, which both hold the adapter "a"; peers have this much work at r1.
fn replicas_with_work_at_r1(workloads: &[Workload]) -> Replicas {
    let mut replicas = fleet(&["r1", "r2"]);
    for replica in ["r1", "r2"] {
        replicas.on_entry(at(1), entry(replica, &[("a", 1)]));
        let known = replicas.get_mut(&name(replica)).unwrap();
        known.on_sent(at(1), needs("a", 1000).workload(0), Some(&key("a")));
    }
    let known = replicas.get_mut(&name("r1")).unwrap();
    for (index, workload) in workloads.iter().enumerate() {
        known.on_peer_workload(at(2), &peer(index), *workload, vec![(key("a"), u32::MAX)]);
    }
    replicas
}

fn assert_r2_is_chosen(replicas: &Replicas, needs: &RequestNeeds) {
    let versions = DeclaredVersions::default();
    let service = ServiceName::new(SERVICE);
    match replicas.choose(at(3), &service, Some(&engine(8)), needs, &[], &versions) {
        ReplicaChoice::Send { replica, .. } => assert_eq!(replica.as_str(), "r2"),
        choice => panic!("{choice:?}"),
    }
}

// Guards against a replica that counts as idle since its work, `ReplicaWorkload::load`, is more than an
// integer holds.
#[test]
fn a_replica_with_the_largest_workloads_of_peers_is_not_preferred() {
    let requests = Workload { requests: u32::MAX, ..Workload::default() };
    let unread = Workload { unread_tokens: u64::MAX, ..Workload::default() };
    let held = Workload { held_tokens: u64::MAX, ..Workload::default() };
    for work in [requests, unread, held] {
        let replicas = replicas_with_work_at_r1(&[work, work]);
        assert_r2_is_chosen(&replicas, &needs("a", 1000));
        let total = replicas.get(&name("r1")).unwrap().workload(at(3));
        let is_kept = |sum: u64, part: u64, max: u64| part == 0 || sum == max;
        assert!(is_kept(total.requests.into(), work.requests.into(), u32::MAX.into()));
        assert!(is_kept(total.unread_tokens, work.unread_tokens, u64::MAX));
        assert!(is_kept(total.held_tokens, work.held_tokens, u64::MAX));
    }
}

// Guards against the same by the needs of a request beside them.
#[test]
fn the_needs_of_a_request_add_to_the_largest_workloads() {
    let all = Workload { requests: u32::MAX, unread_tokens: u64::MAX, held_tokens: u64::MAX };
    assert_r2_is_chosen(&replicas_with_work_at_r1(&[all]), &needs("a", 1000));
    let extreme = RequestNeeds { output_tokens: u64::MAX, ..needs("a", u64::MAX) };
    assert_eq!(extreme.workload(0).held_tokens, u64::MAX);
}

// Guards against an adapter that counts as unused since its uses, `ReplicaWorkload::in_use`, are more
// than an integer holds.
#[test]
fn the_largest_uses_of_an_adapter_by_peers_add_up() {
    let replicas = replicas_with_work_at_r1(&[Workload::default(); 2]);
    assert_eq!(replicas.get(&name("r1")).unwrap().uses_of(at(3), &key("a")), u32::MAX);
}

// Guards against the same by `UseUpdate::count`.
#[test]
fn the_largest_use_notices_of_peers_add_up() {
    let mut uses = AdapterUses::default();
    for (index, adapter) in ["a", "a", "b"].iter().enumerate() {
        let update = UseUpdate { user: peer(index), count: u32::MAX, serial: u64::MAX };
        uses.on_update(at(0), &key(adapter), &update);
    }
    assert_eq!(uses.count(at(1), &key("a")), u32::MAX);
    assert_eq!(uses.total(at(1)), u32::MAX);
}

// Guards against a busy replica that counts as unresponsive at once, as `LoadReply::backlog_tokens` is
// more than an integer holds.
#[test]
fn the_largest_backlog_that_an_owner_tells_explains_silence() {
    let mut replicas = replicas_with_work_at_r1(&[]);
    let known = replicas.get_mut(&name("r1")).unwrap();
    known.on_owner_backlog(at(1), u64::MAX);
    assert!(!known.is_unresponsive(at(2500)));
}

// Guards against long prompts that are all read at once, or whose backlog is none, as
// `TurnRequest::tokens` are more than an integer holds.
#[test]
fn the_largest_prompts_of_peers_take_turns() {
    let mut turns = PromptTurns::default();
    let turn = |serial| TurnId { user: peer(0), serial };
    assert!(turns.try_take_turn(at(0), &turn(1), u64::MAX));
    for serial in 2..4 {
        assert!(!turns.try_take_turn(at(0), &turn(serial), u64::MAX));
    }
    assert_eq!(turns.backlog_tokens(at(0)), u64::MAX);
}

// Guards against prompts that count as unread since `TurnRequest::parts` are longer than an integer
// holds.
#[test]
fn the_largest_parts_of_a_prompt_add_up() {
    let parts = [1, 2].map(|id| PromptPart { id, tokens: u64::MAX });
    let mut prefixes = PrefixTracker::default();
    prefixes.on_read(at(0), &key("a"), &parts);
    assert_eq!(prefixes.cached_prefix_tokens(&key("a"), &parts), u64::MAX);
}

// Guards against a panic, or a division by zero in the release build, by `LoadRequest::width`.
#[test]
fn the_largest_widths_of_peers_can_be_widened() {
    for width in [usize::MAX, 1 << (usize::BITS - 1)] {
        let mut homes = AdapterHomes::default();
        homes.on_peer_width(at(0), &key("a"), width);
        assert!(homes.widen(at(0), &key("a"), 90, 12_345) < 90);
        assert_eq!(homes.width(at(0), &key("a")), 90);
    }
}

// Guards against a panic by a report, or a handover, with the largest number of orders.
#[test]
fn an_order_after_the_largest_count_of_orders_is_accepted() {
    let mut lease = OrderLease::new(ms(3000));
    lease.on_handover(at(0), 77, u64::MAX, 9, Duration::ZERO);
    lease.on_accepted(at(1));
    assert_eq!(lease.fence_and_count(at(2)), Some((9, u64::MAX)));
}

// Guards against a request that isn't refused since `Exchange::strikes` are the most an integer holds.
#[test]
fn a_strike_after_the_most_strikes_of_a_peer_is_one_more_reason_to_refuse() {
    let mut guard = CrashGuard::default();
    guard.on_peer_strikes(at(0), &Strikes { fingerprint: 7, count: u32::MAX, age_ms: 0 });
    assert_eq!(guard.strike(at(1), 7), u32::MAX);
    assert!(guard.refuses(at(2), 7));
}

// Guards against a panic by a heartbeat, `PeerRecord::heartbeat`, that can't advance.
#[test]
fn the_largest_heartbeat_of_a_peer_does_not_advance() {
    let record = |name: &str, port: u16, heartbeat| PeerRecord {
        name: InstanceName::new(name),
        addr: ([127, 0, 0, 1], port).into(),
        started_ms: 1,
        heartbeat,
        settled: true,
        draining: false,
        data_centre: None,
        reads_beats: true,
        cut_from: Vec::new(),
        gives_no_orders: false,
        link_mbps: 0,
    };
    let mut peers = Peers::new(record("me", 1, 0), Vec::new());
    let other = record("other", 2, u64::MAX);
    let gossip = |beats| PeerGossip {
        records: vec![other.clone()],
        heartbeats: Vec::new(),
        needs_all_records: false,
        roster: 0,
        beats,
    };
    peers.on_gossip(at(0), gossip(Beats::None));
    peers.on_gossip(at(1), gossip(Beats::by_tag([(other.tag(), 5)].into_iter())));
    assert_eq!(peers.live(at(2)).map(|peer| peer.heartbeat).collect::<Vec<_>>(), [u64::MAX]);
}

// Guards against a panic by items of the largest revision, `ViewChanges::as_of`.
#[test]
fn an_item_of_the_largest_revision_can_be_removed() {
    let mut view = PublishedView::default();
    let item =
        PublishedItem { key: "a".to_owned(), value: "1".into(), rev: u64::MAX, created: u64::MAX };
    view.apply(&PublishedEvent::Written(item));
    let removed = PublishedEvent::Removed { key: "a".to_owned(), rev: u64::MAX };
    assert_eq!(view.changes_to(Vec::new(), u64::MAX), [removed]);
}

// Guards against a cache that counts as one that hasn't read a prompt, as its tokens are the most an
// integer holds.
#[test]
fn the_largest_cache_has_read_the_largest_part() {
    let holding = Some(CacheHolding { tokens: u64::MAX, age: Duration::ZERO });
    let software = SoftwareVersion::new("v1");
    let answer = CacheAnswer { replica: name("r1"), software, holding };
    assert!(answer.has_read(&PromptPart { id: 1, tokens: u64::MAX }, u64::MAX));
}

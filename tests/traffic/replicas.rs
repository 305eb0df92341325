//! Which replica takes a request.

use tamaracklead::decide::traffic::Choice;
use tamaracklead::decide::traffic::DeclaredVersions;
use tamaracklead::decide::traffic::PromptPart;
use tamaracklead::decide::traffic::ReplicaState;
use tamaracklead::decide::traffic::Replicas;
use tamaracklead::decide::traffic::RequestNeeds;
use tamaracklead::names::BackendName;
use tamaracklead::names::ServiceName;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::engine;
use crate::support::entry;
use crate::support::key;
use crate::support::wanted;

fn name(text: &str) -> BackendName {
    BackendName::new(text)
}

fn fleet(names: &[&str]) -> Replicas {
    let mut replicas = Replicas::default();
    for name in names {
        replicas.on_entry(at(0), entry(name, &[]));
    }
    replicas
}

fn choose(replicas: &Replicas, now: u64, wanted: &RequestNeeds) -> Choice {
    let versions = DeclaredVersions::default();
    replicas.choose(at(now), &ServiceName::new(SERVICE), Some(&engine(8)), wanted, &[], &versions)
}

fn sent_to(choice: &Choice) -> Option<&str> {
    match choice {
        Choice::Send { replica, .. } => Some(replica.as_str()),
        Choice::Load(_) | Choice::NoReplica => None,
    }
}

fn add_work(replicas: &mut Replicas, replica: &str, adapter: &str, count: u64, tokens: u64) {
    let known = replicas.get_mut(&name(replica)).unwrap();
    for _ in 0..count {
        known.on_sent(at(0), wanted(adapter, tokens).workload(0), Some(&key(adapter)));
    }
}

/// Rare adapters on a heavy day: each load elsewhere is one more fetch from the weight store.
#[test]
fn a_rare_adapter_has_the_same_home_however_busy_its_home_is() {
    let mut replicas = fleet(&["r1", "r2", "r3", "r4"]);
    let Choice::Load(before) = choose(&replicas, 0, &wanted("rare", 1000)) else {
        panic!("nobody holds it")
    };
    add_work(&mut replicas, before[0].as_str(), "other", 40, 9000);
    assert_eq!(choose(&replicas, 0, &wanted("rare", 1000)), Choice::Load(before));
}

/// One adapter with a quarter of the traffic: its home alone would be late.
#[test]
fn a_hot_adapter_spreads_when_its_only_holder_is_busy() {
    let mut replicas = fleet(&["r1", "r2", "r3"]);
    replicas.on_entry(at(1), entry("r1", &[("hot", 1), ("cold", 1)]));
    add_work(&mut replicas, "r1", "hot", 6, 9000);
    let Choice::Send { replica, spread } = choose(&replicas, 10, &wanted("hot", 9000)) else {
        panic!("r1 holds it")
    };
    assert_eq!(replica.as_str(), "r1");
    assert!(spread.is_some_and(|target| target.as_str() != "r1"));
    let Choice::Send { spread, .. } = choose(&replicas, 10, &wanted("cold", 900)) else {
        panic!("r1 holds it")
    };
    assert_eq!(spread, None, "an adapter without requests isn't the cause");
}

#[test]
fn among_holders_the_one_with_less_to_read_is_chosen() {
    let mut replicas = fleet(&["r1", "r2"]);
    replicas.on_entry(at(1), entry("r1", &[("a", 1)]));
    replicas.on_entry(at(1), entry("r2", &[("a", 1)]));
    add_work(&mut replicas, "r1", "a", 2, 9000);
    assert_eq!(sent_to(&choose(&replicas, 10, &wanted("a", 900))), Some("r2"));
}

#[test]
fn a_draining_replica_gets_nothing_also_after_a_late_entry_says_ready() {
    let mut replicas = fleet(&["r1"]);
    let mut draining = entry("r1", &[("a", 1)]);
    draining.state = ReplicaState::Draining;
    replicas.on_entry(at(1), draining);
    assert_eq!(choose(&replicas, 10, &wanted("a", 900)), Choice::NoReplica);
    replicas.on_entry(at(20), entry("r1", &[("a", 1)]));
    assert_eq!(choose(&replicas, 30, &wanted("a", 900)), Choice::NoReplica);
    let mut reborn = entry("r1", &[("a", 1)]);
    reborn.started_ms = 2;
    assert!(replicas.on_entry(at(40), reborn));
    assert_eq!(sent_to(&choose(&replicas, 50, &wanted("a", 900))), Some("r1"));
}

#[test]
fn an_entry_of_an_earlier_start_changes_nothing() {
    let mut replicas = fleet(&[]);
    let mut second = entry("r1", &[("a", 1)]);
    second.started_ms = 5;
    replicas.on_entry(at(0), second);
    let mut stale = entry("r1", &[("b", 1)]);
    stale.state = ReplicaState::Draining;
    assert!(!replicas.on_entry(at(1), stale));
    assert_eq!(sent_to(&choose(&replicas, 10, &wanted("a", 900))), Some("r1"));
}

#[test]
fn a_restart_forgets_what_was_held() {
    let mut replicas = fleet(&[]);
    replicas.on_entry(at(0), entry("r1", &[("a", 1)]));
    let mut reborn = entry("r1", &[]);
    reborn.started_ms = 2;
    replicas.on_entry(at(10), reborn);
    assert_eq!(choose(&replicas, 20, &wanted("a", 900)), Choice::Load(vec![name("r1")]));
}

#[test]
fn a_removed_entry_ends_a_replica_and_one_lapsed_in_an_outage_stays_for_two_seconds() {
    let mut replicas = fleet(&["r1", "r2"]);
    replicas.on_removed(at(0), &name("r1"), false);
    assert!(replicas.get(&name("r1")).is_none());
    replicas.on_removed(at(0), &name("r2"), true);
    replicas.drop_expired(at(1500));
    assert!(replicas.get(&name("r2")).is_some());
    replicas.drop_expired(at(2100));
    assert!(replicas.get(&name("r2")).is_none());
    let mut replicas = fleet(&["r3"]);
    replicas.on_removed(at(0), &name("r3"), true);
    replicas.on_entry(at(1000), entry("r3", &[]));
    replicas.drop_expired(at(9000));
    assert!(replicas.get(&name("r3")).is_some(), "its entry came back");
}

#[test]
fn an_address_that_another_replica_has_gets_nothing() {
    let mut replicas = fleet(&[]);
    replicas.on_entry(at(0), entry("r1", &[("a", 1)]));
    replicas.get_mut(&name("r1")).unwrap().on_address_reused();
    assert_eq!(choose(&replicas, 10, &wanted("a", 900)), Choice::NoReplica);
}

#[test]
fn what_a_replica_says_it_lacks_is_loaded_again() {
    let mut replicas = fleet(&[]);
    replicas.on_entry(at(0), entry("r1", &[("a", 1)]));
    replicas.get_mut(&name("r1")).unwrap().on_missing(at(10), &key("a"));
    assert_eq!(choose(&replicas, 20, &wanted("a", 900)), Choice::Load(vec![name("r1")]));
    replicas.get_mut(&name("r1")).unwrap().on_loaded(at(30), key("a"), 1);
    assert_eq!(sent_to(&choose(&replicas, 40, &wanted("a", 900))), Some("r1"));
}

#[test]
fn an_old_version_is_not_used_once_a_newer_one_is_known_for_a_while() {
    let mut replicas = fleet(&[]);
    replicas.on_entry(at(0), entry("r1", &[("a", 1)]));
    let mut versions = DeclaredVersions::default();
    versions.on_declared(at(0), key("a"), 2);
    let service = ServiceName::new(SERVICE);
    let choice =
        |now| replicas.choose(at(now), &service, Some(&engine(8)), &wanted("a", 9), &[], &versions);
    assert_eq!(sent_to(&choice(500)), Some("r1"));
    assert_eq!(choice(4500), Choice::Load(vec![name("r1")]));
}

#[test]
fn a_silent_replica_is_avoided_but_one_that_reads_long_prompts_is_not() {
    let mut replicas = fleet(&[]);
    replicas.on_entry(at(0), entry("r1", &[("a", 1)]));
    add_work(&mut replicas, "r1", "a", 1, 100);
    assert_eq!(choose(&replicas, 2000, &wanted("a", 900)), Choice::NoReplica);
    let mut replicas = fleet(&[]);
    replicas.on_entry(at(0), entry("r1", &[("a", 1)]));
    add_work(&mut replicas, "r1", "a", 4, 9000);
    assert_eq!(sent_to(&choose(&replicas, 2000, &wanted("a", 900))), Some("r1"));
}

#[test]
fn a_replica_that_refuses_connections_is_tried_again_soon() {
    let mut replicas = fleet(&[]);
    replicas.on_entry(at(0), entry("r1", &[("a", 1)]));
    replicas.get_mut(&name("r1")).unwrap().on_unreachable(at(10));
    assert_eq!(choose(&replicas, 100, &wanted("a", 900)), Choice::NoReplica);
    assert_eq!(sent_to(&choose(&replicas, 1000, &wanted("a", 900))), Some("r1"));
}

#[test]
fn a_plain_service_uses_the_replica_with_most_free_slots() {
    let mut replicas = Replicas::default();
    for name in ["d1", "d2"] {
        replicas.on_entry(at(0), entry(name, &[]));
    }
    let plain = RequestNeeds { key: None, parts: Vec::new(), prompt_tokens: 0, output_tokens: 0 };
    let known = replicas.get_mut(&name("d1")).unwrap();
    known.on_sent(at(0), plain.workload(0), None);
    let versions = DeclaredVersions::default();
    let service = ServiceName::new(SERVICE);
    let choice = replicas.choose(at(10), &service, None, &plain, &[], &versions);
    assert_eq!(sent_to(&choice), Some("d2"));
    let choice = replicas.choose(at(10), &service, None, &plain, &[name("d2")], &versions);
    assert_eq!(sent_to(&choice), Some("d1"));
}

#[test]
fn a_replica_is_mute_only_if_no_request_of_this_instance_hears_from_it() {
    let mut replicas = fleet(&["r1"]);
    let known = replicas.get_mut(&name("r1")).unwrap();
    assert!(!known.has_stopped_sending(at(9000)), "it owes nothing");
    known.on_sent(at(0), wanted("a", 900).workload(0), Some(&key("a")));
    known.on_answered(at(100));
    assert!(!known.has_stopped_sending(at(1500)));
    assert!(known.has_stopped_sending(at(2500)));
    known.on_bytes_received(at(2600));
    assert!(!known.has_stopped_sending(at(2700)), "another answer of it goes on");
}

/// Another instance may have had the adapter unloaded since; the one that orders knows.
#[test]
fn the_word_that_a_replica_holds_an_adapter_counts_for_a_while_or_as_long_as_it_is_used() {
    let mut replicas = fleet(&["r1"]);
    replicas.get_mut(&name("r1")).unwrap().on_loaded(at(0), key("a"), 1);
    assert!(matches!(choose(&replicas, 1000, &wanted("a", 10)), Choice::Send { .. }));
    assert!(matches!(choose(&replicas, 4000, &wanted("a", 10)), Choice::Load(_)));
    replicas.get_mut(&name("r1")).unwrap().on_loaded(at(4000), key("a"), 1);
    let replica = replicas.get_mut(&name("r1")).unwrap();
    replica.on_sent(at(4000), wanted("a", 10).workload(0), Some(&key("a")));
    replica.on_answered(at(4100));
    assert!(matches!(choose(&replicas, 9000, &wanted("a", 10)), Choice::Send { .. }));
}

#[test]
fn others_need_to_know_of_a_replica_but_not_of_its_adapters() {
    let replicas = fleet(&["r1"]);
    assert!(!replicas.is_worth_sharing(&entry("r1", &[("a", 1)])));
    let mut draining = entry("r1", &[]);
    draining.state = ReplicaState::Draining;
    assert!(replicas.is_worth_sharing(&draining));
    let mut reborn = entry("r1", &[]);
    reborn.started_ms += 1;
    assert!(replicas.is_worth_sharing(&reborn));
    assert!(replicas.is_worth_sharing(&entry("r2", &[])));
}

#[test]
fn after_a_crowded_answer_the_next_request_asks_again() {
    let mut replicas = fleet(&["r1"]);
    let replica = replicas.get_mut(&name("r1")).unwrap();
    replica.on_loaded_but_hot(at(0), key("hot"), 1);
    replica.on_sent(at(0), wanted("hot", 10).workload(0), Some(&key("hot")));
    replica.on_answered(at(1));
    assert!(matches!(choose(&replicas, 10, &wanted("hot", 10)), Choice::Send { .. }));
    assert!(matches!(choose(&replicas, 200, &wanted("hot", 10)), Choice::Load(_)));
}

/// A request that waits for its prompt's turn must not lose its adapter meanwhile.
#[test]
fn a_request_that_is_about_to_be_sent_counts_as_a_use() {
    let mut replicas = fleet(&["r1"]);
    let replica = replicas.get_mut(&name("r1")).unwrap();
    assert_eq!(replica.begin_use(&key("a")), 1);
    assert_eq!(replica.on_sent(at(0), wanted("a", 10).workload(0), Some(&key("a"))), 2);
    assert_eq!(replica.end_use(&key("a")), 1);
    assert_eq!(replica.on_request_ended(wanted("a", 10).workload(0), Some(&key("a"))), 0);
    assert!(replica.in_use().is_empty());
}

#[test]
fn prompts_that_begin_alike_have_a_number_in_common() {
    let part = |id| PromptPart { id, tokens: 100 };
    let prefix = |parts: &[u64]| {
        let parts = parts.iter().map(|id| part(*id)).collect();
        RequestNeeds { parts, ..wanted("a", 10) }.shared_prefix()
    };
    assert_eq!(prefix(&[1, 2, 7]), prefix(&[1, 2, 8]));
    assert_ne!(prefix(&[1, 2, 7]), prefix(&[1, 3, 7]));
    assert_eq!(prefix(&[7]), None, "the last part is the request's own");
    assert_eq!(prefix(&[]), None);
}

//! What replicas say of themselves in their answers: that they leave, and that they want a pause.

use std::time::Duration;

use tamaracklead::decide::traffic::DeclaredVersions;
use tamaracklead::decide::traffic::ReplicaChoice;
use tamaracklead::decide::traffic::ReplicaPause;
use tamaracklead::decide::traffic::ReplicaState;
use tamaracklead::decide::traffic::Replicas;
use tamaracklead::decide::traffic::RetryAfter;
use tamaracklead::decide::traffic::WaitBudget;
use tamaracklead::names::ServiceName;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::entry;
use crate::support::fleet;
use crate::support::ms;
use crate::support::name;
use crate::support::plain_needs;

/// Chooses the replica of a request to a plain service.
fn choose(replicas: &Replicas, now: u64) -> ReplicaChoice {
    let needs = plain_needs();
    let (service, versions) = (ServiceName::new(SERVICE), DeclaredVersions::default());
    replicas.choose(at(now), &service, None, &needs, &[], &versions)
}

fn pause(replicas: &mut Replicas, now: u64, replica: &str, wanted: Duration) {
    let known = replicas.get_mut(&name(replica)).unwrap();
    known.pause.on_refused(at(now), RetryAfter::After(wanted));
}

#[test]
fn a_replica_that_says_it_leaves_gets_nothing_until_it_restarts() {
    let mut replicas = fleet(&["r1"]);
    assert!(replicas.on_leaving(at(10), &name("r1"), 1));
    assert!(!replicas.on_leaving(at(11), &name("r1"), 1), "known already");
    assert_eq!(choose(&replicas, 20), ReplicaChoice::NoReplica);
    assert!(
        !replicas.get(&name("r1")).unwrap().may_send(at(20)),
        "also not what was chosen before"
    );
    replicas.on_entry(at(30), entry("r1", &[]));
    assert_eq!(choose(&replicas, 40), ReplicaChoice::NoReplica, "an entry lags behind the mark");
    replicas.on_removed(at(50), &name("r1"), None);
    replicas.on_entry(at(60), entry("r1", &[]));
    assert_eq!(choose(&replicas, 70), ReplicaChoice::NoReplica, "it left, whatever lists it again");
    let mut restarted = entry("r1", &[]);
    restarted.started_ms = 2;
    replicas.on_entry(at(80), restarted);
    assert!(matches!(choose(&replicas, 90), ReplicaChoice::Send { .. }));
}

#[test]
fn a_leaving_mark_of_an_earlier_start_says_nothing_of_the_present_one() {
    let mut replicas = fleet(&[]);
    let mut second = entry("r1", &[]);
    second.started_ms = 5;
    replicas.on_entry(at(0), second);
    assert!(!replicas.on_leaving(at(10), &name("r1"), 1));
    assert_eq!(replicas.get(&name("r1")).unwrap().entry.state, ReplicaState::Ready);
}

#[test]
fn peers_are_told_of_a_leaving_replica_for_a_while() {
    let mut replicas = fleet(&["r1", "r2"]);
    replicas.on_leaving(at(10), &name("r1"), 1);
    assert_eq!(replicas.recently_leaving(at(1000)), [(name("r1"), 1)]);
    assert!(replicas.recently_leaving(at(4000)).is_empty());
}

#[test]
fn a_paused_replica_gets_nothing_and_another_one_takes_its_requests() {
    let mut replicas = fleet(&["r1", "r2"]);
    pause(&mut replicas, 0, "r1", ms(700));
    for now in [1, 300, 699] {
        let ReplicaChoice::Send { replica, .. } = choose(&replicas, now) else {
            panic!("r2 is free")
        };
        assert_eq!(replica, name("r2"));
    }
}

/// Guards against callers that wait for replicas that all said when they want requests again.
#[test]
fn while_all_replicas_pause_the_shortest_pause_is_known() {
    let mut replicas = fleet(&["r1", "r2"]);
    pause(&mut replicas, 0, "r1", ms(5000));
    pause(&mut replicas, 0, "r2", ms(3000));
    assert_eq!(choose(&replicas, 1000), ReplicaChoice::Paused { left: ms(2000), may_wait: true });
    assert_eq!(replicas.service_pause(at(1000), &ServiceName::new(SERVICE)), Some(ms(2000)));
    let mut budget = WaitBudget::default();
    assert!(!budget.charge_pause(ms(2000), ms(10_000)), "refused at once");
    assert!(WaitBudget::default().charge_pause(ms(200), ms(10_000)), "a short pause is waited for");
    assert!(!WaitBudget::default().charge_pause(ms(200), ms(150)), "no time left after it");
}

#[test]
fn refused_callers_come_back_after_the_pause_and_not_all_together() {
    let times: Vec<Duration> =
        (0..4).map(|spread| WaitBudget::retry_after(ms(2000), spread * 250)).collect();
    assert_eq!(times, [ms(2000), ms(2125), ms(2250), ms(2375)]);
}

/// Guards against the whole waiting load arriving at the moment in which a pause ends.
#[test]
fn requests_return_slowly_after_a_pause() {
    let mut pause = ReplicaPause::default();
    pause.on_refused(at(0), RetryAfter::After(ms(1000)));
    assert!(!pause.accepts(at(999)) && pause.accepts(at(1000)));
    pause.on_sent(at(1000));
    assert!(!pause.accepts(at(1001)), "one request first");
    pause.on_answered(at(1050));
    assert!(pause.accepts(at(1051)));
    for _ in 0..2 {
        pause.on_sent(at(1052));
    }
    assert!(!pause.accepts(at(1053)), "two more for each answer");
    for _ in 0..7 {
        pause.on_answered(at(1100));
    }
    for _ in 0..50 {
        pause.on_sent(at(1101));
    }
    assert!(pause.accepts(at(1102)), "as before after enough answers");
}

#[test]
fn a_lost_answer_after_a_pause_does_not_hold_requests_back_forever() {
    let mut pause = ReplicaPause::default();
    pause.on_refused(at(0), RetryAfter::After(ms(100)));
    pause.on_sent(at(150));
    assert!(!pause.accepts(at(2000)) && pause.accepts(at(2150)));
}

#[test]
fn invalid_and_excessive_pauses_are_bounded_and_reported_once() {
    let mut pause = ReplicaPause::default();
    assert!(pause.on_refused(at(0), RetryAfter::Invalid));
    assert!(!pause.on_refused(at(1), RetryAfter::Invalid), "reported once");
    assert!(pause.accepts(at(1)), "no pause without a time");
    pause.on_refused(at(2), RetryAfter::After(Duration::MAX));
    assert_eq!(pause.left(at(2)), Duration::from_secs(30));
    pause.on_refused(at(3), RetryAfter::After(ms(10)));
    assert!(pause.left(at(3)) > ms(20_000), "a shorter pause doesn't end a longer one");
}

#[test]
fn an_ordinary_answer_asks_for_no_pause() {
    let mut pause = ReplicaPause::default();
    assert!(!pause.on_refused(at(0), RetryAfter::Absent));
    assert!(pause.accepts(at(0)) && pause.left(at(0)).is_zero());
}

/// Guards against requests to a removed replica after an outage that other instances didn't have:
/// the grace for expired entries ends two seconds after the outage, not after the removal.
#[test]
fn a_replica_removed_well_after_an_outage_is_gone_at_once() {
    let mut replicas = fleet(&["r1", "r2"]);
    replicas.on_removed(at(2500), &name("r1"), Some(at(0)));
    assert!(replicas.get(&name("r1")).is_none());
    replicas.on_removed(at(800), &name("r2"), Some(at(0)));
    replicas.drop_expired(at(1899));
    assert!(replicas.get(&name("r2")).is_some());
    replicas.drop_expired(at(1900));
    assert!(replicas.get(&name("r2")).is_none(), "whenever its removal was learned");
}

/// Guards against requests that ask on without a pause for an adapter that a replica holds, but in
/// a version that isn't to be used: a few of them took an instance's whole processor share.
#[test]
fn a_request_asks_for_its_adapter_again_only_after_a_pause_and_not_forever() {
    let mut budget = WaitBudget::default();
    assert_eq!(budget.charge_load_wait(ms(0)), ms(0), "the first look follows at once");
    let mut rounds = 0;
    while budget.load_wait_limit(ms(60_000)).is_some() {
        assert!(budget.charge_load_wait(ms(0)) >= ms(10));
        rounds += 1;
        assert!(rounds <= 100);
    }
}

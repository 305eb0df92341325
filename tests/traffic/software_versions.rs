//! Requests that must be served by replicas of one software version.

use tamaracklead::decide::traffic::DeclaredVersions;
use tamaracklead::decide::traffic::ReplicaChoice;
use tamaracklead::decide::traffic::ReplicaEntry;
use tamaracklead::decide::traffic::ReplicaState;
use tamaracklead::decide::traffic::Replicas;
use tamaracklead::decide::traffic::RequestNeeds;
use tamaracklead::decide::traffic::RetryAfter;
use tamaracklead::names::BackendName;
use tamaracklead::names::ServiceName;
use tamaracklead::names::SoftwareVersion;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::engine;
use crate::support::entry;
use crate::support::key;
use crate::support::ms;
use crate::support::name;
use crate::support::needs;
use crate::support::plain_needs;

fn at_version(replica: &str, software: &str) -> ReplicaEntry {
    holding(replica, software, &[])
}

fn holding(replica: &str, software: &str, adapters: &[(&str, u64)]) -> ReplicaEntry {
    ReplicaEntry { software: SoftwareVersion::new(software), ..entry(replica, adapters) }
}

fn restarted(replica: &str, software: &str, started_ms: u64) -> ReplicaEntry {
    ReplicaEntry { started_ms, ..at_version(replica, software) }
}

fn fleet(entries: &[ReplicaEntry]) -> Replicas {
    let mut replicas = Replicas::default();
    for entry in entries {
        replicas.on_entry(at(0), entry.clone());
    }
    replicas
}

fn needing(needs: RequestNeeds, software: &str) -> RequestNeeds {
    RequestNeeds { software: Some(SoftwareVersion::new(software)), ..needs }
}

fn choose(replicas: &Replicas, now: u64, needs: &RequestNeeds) -> ReplicaChoice {
    choose_untried(replicas, now, needs, &[])
}

fn choose_untried(
    replicas: &Replicas,
    now: u64,
    needs: &RequestNeeds,
    tried: &[BackendName],
) -> ReplicaChoice {
    let (service, engine) = (ServiceName::new(SERVICE), engine(8));
    let engine = needs.key.as_ref().map(|_| &engine);
    replicas.choose(at(now), &service, engine, needs, tried, &DeclaredVersions::default())
}

fn sent_to(replica: &str) -> ReplicaChoice {
    ReplicaChoice::Send { replica: name(replica), spread: None }
}

fn versions(replicas: &Replicas, now: u64) -> Vec<String> {
    let versions = replicas.software_versions(at(now), &ServiceName::new(SERVICE));
    versions.iter().map(SoftwareVersion::to_string).collect()
}

fn add_work(replicas: &mut Replicas, replica: &str, adapter: Option<&str>, count: u64) {
    let key = adapter.map(key);
    let known = replicas.get_mut(&name(replica)).unwrap();
    for _ in 0..count {
        known.on_sent(at(0), needs("any", 9000).workload(0), key.as_ref());
        known.on_response_begun(at(0));
    }
}

/// Guards against a stream that goes on at an idle replica of another software version.
#[test]
fn a_request_goes_to_the_busy_replica_of_its_software_version() {
    let mut replicas = fleet(&[at_version("r1", "v1"), at_version("r2", "v2")]);
    add_work(&mut replicas, "r1", None, 30);
    assert_eq!(choose(&replicas, 10, &plain_needs()), sent_to("r2"));
    assert_eq!(choose(&replicas, 10, &needing(plain_needs(), "v1")), sent_to("r1"));
}

/// Guards against a stream that goes on at the only holder of its adapter, which runs another
/// software version.
#[test]
fn an_adapter_is_loaded_at_the_software_version_although_another_one_holds_it() {
    let replicas = fleet(&[
        holding("r1", "v1", &[]),
        holding("r2", "v2", &[("a", 1)]),
        holding("r3", "v1", &[]),
    ]);
    assert_eq!(choose(&replicas, 10, &needs("a", 900)), sent_to("r2"));
    let ReplicaChoice::Load(mut targets) = choose(&replicas, 10, &needing(needs("a", 900), "v1"))
    else {
        panic!("no replica of v1 holds it")
    };
    targets.sort();
    assert_eq!(targets, [name("r1"), name("r3")]);
}

/// Guards against an extra copy that is loaded at another software version, where it takes no load
/// off the replica of this one.
#[test]
fn a_hot_adapter_gets_its_extra_copy_at_the_software_version_of_the_request() {
    let mut replicas = fleet(&[
        holding("r1", "v1", &[("hot", 1)]),
        holding("r2", "v2", &[]),
        holding("r3", "v2", &[]),
    ]);
    add_work(&mut replicas, "r1", Some("hot"), 20);
    let spread = |replicas: &Replicas, needs: &RequestNeeds| match choose(replicas, 10, needs) {
        ReplicaChoice::Send { replica, spread } => (replica, spread),
        other => panic!("{other:?}"),
    };
    let (_, any) = spread(&replicas, &needs("hot", 9000));
    assert!(any.is_some());
    let at_v1 = needing(needs("hot", 9000), "v1");
    assert_eq!(spread(&replicas, &at_v1), (name("r1"), None));
    replicas.on_entry(at(5), at_version("r4", "v1"));
    assert_eq!(spread(&replicas, &at_v1), (name("r1"), Some(name("r4"))));
}

/// Guards against a retry that leaves the software version when its replicas were all tried.
#[test]
fn a_retry_stays_at_its_software_version() {
    let replicas = fleet(&[at_version("r1", "v1"), at_version("r2", "v2"), at_version("r3", "v1")]);
    let needs = needing(plain_needs(), "v1");
    let after = |tried: &[&str]| {
        let tried: Vec<BackendName> = tried.iter().map(|text| name(text)).collect();
        choose_untried(&replicas, 10, &needs, &tried)
    };
    assert_eq!(after(&["r1"]), sent_to("r3"));
    assert_eq!(after(&["r1", "r3"]), ReplicaChoice::NoReplica);
}

/// Guards against a stream that waits in vain for a version that has left, and against one that is
/// refused while replicas of its version are only out of reach for a moment.
#[test]
fn a_version_is_gone_when_no_replica_of_it_may_come_to_accept_requests() {
    let mut replicas = fleet(&[at_version("r1", "v1"), at_version("r2", "v2")]);
    let v1 = needing(plain_needs(), "v1");
    replicas.get_mut(&name("r1")).unwrap().on_unreachable(at(10));
    assert_eq!(choose(&replicas, 20, &v1), ReplicaChoice::NoReplica);
    assert_eq!(choose(&replicas, 500, &v1), sent_to("r1"));
    let draining = ReplicaEntry { state: ReplicaState::Draining, ..at_version("r1", "v1") };
    replicas.on_entry(at(600), draining);
    assert_eq!(choose(&replicas, 610, &v1), ReplicaChoice::VersionGone);
    replicas.on_removed(at(700), &name("r1"), None);
    assert_eq!(choose(&replicas, 710, &v1), ReplicaChoice::VersionGone);
    assert_eq!(choose(&replicas, 710, &plain_needs()), sent_to("r2"));
    replicas.on_entry(at(800), at_version("r3", "v1"));
    assert_eq!(choose(&replicas, 810, &v1), sent_to("r3"));
}

/// Guards against waiting for a version whose only address another replica has.
#[test]
fn a_version_whose_address_another_replica_has_is_gone() {
    let mut replicas = fleet(&[at_version("r1", "v1"), at_version("r2", "v2")]);
    replicas.get_mut(&name("r1")).unwrap().on_address_reused();
    let v1 = needing(plain_needs(), "v1");
    assert_eq!(choose(&replicas, 10, &v1), ReplicaChoice::VersionGone);
}

/// Guards against a request that waits for the pause of a replica that it may not go to, and
/// against one that is told to come back too early.
#[test]
fn only_pauses_of_the_software_version_count() {
    let mut replicas = fleet(&[at_version("r1", "v1"), at_version("r2", "v2")]);
    let pause = |replicas: &mut Replicas, replica: &str, seconds: u64| {
        let wanted = RetryAfter::After(ms(seconds * 1000));
        replicas.get_mut(&name(replica)).unwrap().pause.on_refused(at(0), wanted);
    };
    pause(&mut replicas, "r1", 9);
    pause(&mut replicas, "r2", 4);
    let left = |needs: &RequestNeeds| match choose(&replicas, 1000, needs) {
        ReplicaChoice::Paused { left, may_wait: true } => left,
        other => panic!("{other:?}"),
    };
    assert_eq!(left(&plain_needs()), ms(3000));
    assert_eq!(left(&needing(plain_needs(), "v1")), ms(8000));
    let unpaused = choose(&replicas, 1000, &needing(plain_needs(), "v3"));
    assert_eq!(unpaused, ReplicaChoice::VersionGone);
}

/// Guards against a stream that goes on at its own replica after that restarted with another
/// software version.
#[test]
fn a_replica_that_restarts_with_another_version_is_another_one() {
    let mut replicas = fleet(&[at_version("r1", "v1")]);
    let v1 = needing(plain_needs(), "v1");
    assert_eq!(choose(&replicas, 10, &v1), sent_to("r1"));
    replicas.on_entry(at(20), restarted("r1", "v2", 2));
    assert_eq!(choose(&replicas, 30, &v1), ReplicaChoice::VersionGone);
    let known = replicas.get(&name("r1")).unwrap();
    assert!(!known.runs(v1.software.as_ref()), "chosen before, it isn't sent to any more");
    assert!(known.runs(Some(&SoftwareVersion::new("v2"))) && known.runs(None));
    assert_eq!(versions(&replicas, 30), ["v1", "v2"]);
}

/// Guards against an old entry, which arrives late, that brings the version before back.
#[test]
fn an_entry_of_an_earlier_start_changes_no_version() {
    let mut replicas = fleet(&[restarted("r1", "v2", 2)]);
    replicas.on_entry(at(10), restarted("r1", "v1", 1));
    assert_eq!(choose(&replicas, 20, &needing(plain_needs(), "v2")), sent_to("r1"));
    assert_eq!(versions(&replicas, 20), ["v2"]);
}

/// Guards against a stream of a version that has left that is taken for one of the only version
/// that is there now.
#[test]
fn versions_of_replicas_that_left_are_remembered_for_a_minute() {
    let mut replicas = fleet(&[at_version("r1", "v1"), at_version("r2", "v2")]);
    replicas.on_entry(at(0), ReplicaEntry { service: "other".into(), ..at_version("r3", "v9") });
    assert_eq!(versions(&replicas, 10), ["v1", "v2"]);
    replicas.on_removed(at(1000), &name("r1"), None);
    replicas.on_removed(at(1000), &name("r3"), None);
    assert_eq!(versions(&replicas, 60_999), ["v1", "v2"]);
    assert_eq!(versions(&replicas, 61_000), ["v2"]);
}

/// Guards against a service whose entry is lost in an outage of the published state and whose
/// version is forgotten at once.
#[test]
fn versions_of_entries_that_expired_in_an_outage_are_remembered_too() {
    let mut replicas = fleet(&[at_version("r1", "v1"), at_version("r2", "v2")]);
    replicas.on_removed(at(1000), &name("r1"), Some(at(900)));
    assert_eq!(versions(&replicas, 2000), ["v1", "v2"]);
    replicas.drop_expired(at(3000));
    assert_eq!(versions(&replicas, 62_999), ["v1", "v2"]);
    assert_eq!(versions(&replicas, 63_000), ["v2"]);
}

/// Guards against memory that grows with every release.
#[test]
fn versions_that_left_take_bounded_memory_and_the_last_ones_stay() {
    let mut replicas = Replicas::default();
    for serial in 0..3000 {
        let software = format!("v{serial:04}");
        replicas.on_entry(at(serial), restarted("r1", &software, serial));
    }
    let known = versions(&replicas, 3000);
    assert_eq!(known.len(), 1025, "1,024 that left and the present one");
    assert_eq!(known.first().map(String::as_str), Some("v1975"));
}

/// Guards against peers that aren't told of an entry that differs in its software version.
#[test]
fn an_entry_of_another_software_version_is_worth_sharing() {
    let replicas = fleet(&[at_version("r1", "v1")]);
    assert!(!replicas.is_worth_sharing(&holding("r1", "v1", &[("a", 1)])));
    assert!(replicas.is_worth_sharing(&at_version("r1", "v2")));
}

/// Guards against a view that lags: until the entry arrives, the version isn't there, and then it
/// is at once.
#[test]
fn a_version_that_a_lagging_view_lacks_is_there_with_its_first_entry() {
    let mut replicas = fleet(&[at_version("r1", "v1")]);
    let v2 = needing(plain_needs(), "v2");
    assert_eq!(choose(&replicas, 10, &v2), ReplicaChoice::VersionGone);
    replicas.on_entry(at(20), at_version("r2", "v2"));
    assert_eq!(choose(&replicas, 30, &v2), sent_to("r2"));
}

/// Guards against entries without a version that are taken for any version.
#[test]
fn an_empty_version_is_a_version_like_any_other() {
    let replicas = fleet(&[at_version("r1", ""), at_version("r2", "v2")]);
    assert_eq!(choose(&replicas, 10, &needing(plain_needs(), "")), sent_to("r1"));
    assert_eq!(choose(&replicas, 10, &needing(plain_needs(), "v2")), sent_to("r2"));
}

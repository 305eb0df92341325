//! What instances know of where streams began, and at which version streams may go on.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tamaracklead::decide::traffic::Beats;
use tamaracklead::decide::traffic::Coverage;
use tamaracklead::decide::traffic::Departure;
use tamaracklead::decide::traffic::FormerReplica;
use tamaracklead::decide::traffic::ORIGIN_LOOKUPS;
use tamaracklead::decide::traffic::ORIGIN_WITNESSES;
use tamaracklead::decide::traffic::OriginKnowledge;
use tamaracklead::decide::traffic::PeerGossip;
use tamaracklead::decide::traffic::PeerRecord;
use tamaracklead::decide::traffic::Peers;
use tamaracklead::decide::traffic::ReplicaEntry;
use tamaracklead::decide::traffic::Replicas;
use tamaracklead::decide::traffic::StreamKey;
use tamaracklead::decide::traffic::StreamOrigins;
use tamaracklead::decide::traffic::StreamVersion;
use tamaracklead::names::InstanceName;
use tamaracklead::names::ServiceName;
use tamaracklead::names::SoftwareVersion;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::entry;
use crate::support::ms;
use crate::support::name;

const CAPACITY: u64 = 16_384;
/// Time for which the callers of streams may try, the longest that counts.
const LONG: Duration = Duration::from_secs(30);
/// Time of day at which replicas of these tests started.
const STARTED_MS: u64 = 1_700_000_000_000;

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::new(text)
}

fn origin_at(origins: &StreamOrigins, now: u64, key: u64) -> Option<&str> {
    origins.version_of(at(now), StreamKey(key)).map(SoftwareVersion::as_str)
}

fn knows(origin: Option<&str>, versions: &[&str], known_for_s: u64) -> OriginKnowledge {
    OriginKnowledge {
        origin: origin.map(version),
        versions: versions.iter().map(|text| version(text)).collect(),
        coverage: covering(known_for_s),
        departed: Vec::new(),
    }
}

fn covering(seconds: u64) -> Coverage {
    if seconds == 0 { Coverage::Unknown } else { Coverage::Last(Duration::from_secs(seconds)) }
}

fn of_service(replicas: &Replicas, coverage: Coverage) -> OriginKnowledge {
    OriginKnowledge::of_service(replicas, &ServiceName::new(SERVICE), at(100), coverage)
}

/// Guards against streams that go on at another version since their origin was forgotten early.
#[test]
fn an_origin_is_remembered_for_a_minute_after_the_last_word_on_it() {
    let mut origins = StreamOrigins::default();
    origins.on_begun(at(0), StreamKey(1), version("v1"));
    origins.on_begun(at(0), StreamKey(2), version("v2"));
    origins.on_begun(at(50_000), StreamKey(2), version("v2"));
    assert_eq!(origin_at(&origins, 59_999, 1), Some("v1"));
    assert_eq!(origin_at(&origins, 60_000, 1), None);
    assert_eq!(origin_at(&origins, 109_999, 2), Some("v2"));
    assert_eq!(origin_at(&origins, 110_000, 2), None);
    origins.on_begun(at(110_000), StreamKey(3), version("v3"));
    assert_eq!(origins.len(), 1, "what is too old is dropped");
}

/// Guards against an origin that a late or wrong message replaces.
#[test]
fn the_first_word_on_a_stream_counts() {
    let mut origins = StreamOrigins::default();
    origins.on_begun(at(0), StreamKey(1), version("v1"));
    origins.on_begun(at(40_000), StreamKey(1), version("v2"));
    assert_eq!(origin_at(&origins, 50_000, 1), Some("v1"));
    assert_eq!(origin_at(&origins, 60_000, 1), None, "another version keeps it for no longer");
}

/// Guards against memory that grows with the load.
#[test]
fn the_oldest_streams_are_forgotten_beyond_the_capacity() {
    let mut origins = StreamOrigins::default();
    for key in 0..CAPACITY + 10 {
        origins.on_begun(at(key / 1000), StreamKey(key), version("v1"));
    }
    origins.on_begun(at(20), StreamKey(10), version("v1"));
    origins.on_begun(at(20), StreamKey(u64::MAX), version("v1"));
    assert_eq!(origins.len() as u64, CAPACITY);
    assert_eq!(origin_at(&origins, 30, 9), None);
    assert_eq!(origin_at(&origins, 30, 10), Some("v1"), "the last word on it is recent");
    assert_eq!(origin_at(&origins, 30, 11), None);
    assert_eq!(origin_at(&origins, 30, 12), Some("v1"));
}

/// Guards against streams of different attempts that share a key, and against keys that differ
/// from process to process.
#[test]
fn a_key_follows_from_the_id_of_the_attempt_alone() {
    assert_eq!(StreamKey::new("1701ac980acfa112"), StreamKey::new("1701ac980acfa112"));
    assert_ne!(StreamKey::new("1701ac980acfa112"), StreamKey::new("1701ac980acfa113"));
}

/// Guards against a stream that goes on at another version than the one that somebody knows.
#[test]
fn an_origin_that_one_instance_knows_counts() {
    let own = knows(None, &["v2"], 300);
    let answers = [knows(None, &["v1", "v2"], 300), knows(Some("v1"), &[], 0)];
    assert_eq!(StreamVersion::decide(&own, &answers, LONG), StreamVersion::At(version("v1")));
    let own = knows(Some("v2"), &["v1", "v2"], 0);
    assert_eq!(StreamVersion::decide(&own, &[], LONG), StreamVersion::At(version("v2")));
}

/// Guards against a stream that goes on although instances name different origins.
#[test]
fn different_origins_let_the_stream_go_on_nowhere() {
    let own = knows(Some("v1"), &["v1"], 300);
    let answers = [knows(Some("v1"), &["v1"], 300), knows(Some("v2"), &["v1"], 300)];
    assert_eq!(StreamVersion::decide(&own, &answers, LONG), StreamVersion::Contradictory);
}

/// Guards against refusing streams of which nobody knows the origin while there is one version, and
/// against guessing while there are two.
#[test]
fn without_an_origin_the_only_version_counts() {
    let own = knows(None, &["v1"], 300);
    let decide = |answers: &[OriginKnowledge]| StreamVersion::decide(&own, answers, LONG);
    assert_eq!(decide(&[]), StreamVersion::At(version("v1")));
    assert_eq!(decide(&[knows(None, &["v1"], 1)]), StreamVersion::At(version("v1")));
    assert_eq!(decide(&[knows(None, &["v2"], 1)]), StreamVersion::Unknown);
    let nothing = knows(None, &[], 300);
    assert_eq!(StreamVersion::decide(&nothing, &[], LONG), StreamVersion::Unknown);
}

/// Guards against a stream that goes on at the only version that instances see which all started
/// after the one that began it had left.
#[test]
fn the_only_version_counts_if_somebody_has_known_the_service_for_long() {
    let young = knows(None, &["v2"], 1);
    assert_eq!(StreamVersion::decide(&young, &[], LONG), StreamVersion::Unknown);
    assert_eq!(
        StreamVersion::decide(&young, &[knows(None, &["v2"], 29)], LONG),
        StreamVersion::Unknown
    );
    let answers = [young.clone(), knows(None, &["v2"], 30)];
    assert_eq!(StreamVersion::decide(&young, &answers, LONG), StreamVersion::At(version("v2")));
}

/// Guards against refusing streams for longer than their callers can have tried.
#[test]
fn the_versions_must_be_known_for_as_long_as_a_stream_may_last() {
    let decide = |known_for_s, longest_s| {
        let own = knows(None, &["v1"], known_for_s);
        StreamVersion::decide(&own, &[], Duration::from_secs(longest_s))
    };
    for (known_for_s, longest_s, is_known) in
        [(9, 1, false), (10, 1, true), (14, 15, false), (15, 15, true), (30, 600, true)]
    {
        let is_at = decide(known_for_s, longest_s) == StreamVersion::At(version("v1"));
        assert_eq!(is_at, is_known, "{known_for_s} of {longest_s}");
    }
}

/// Guards against a stream that goes on at the only version that is listed, although a replica of
/// another one left, without a start of any, before this instance began to follow them.
#[test]
fn replicas_that_have_run_for_long_do_not_show_that_none_has_left() {
    let mut replicas = Replicas::default();
    replicas.on_entry(at(0), ReplicaEntry { started_ms: STARTED_MS, ..entry("r1", &[]) });
    let own = of_service(&replicas, Coverage::Last(ms(500)));
    assert_eq!(StreamVersion::decide(&own, &[], LONG), StreamVersion::Unknown);
}

/// Guards against an instance that is cut off and doesn't see the replicas of another version.
#[test]
fn an_instance_whose_view_lags_covers_no_time() {
    let mut replicas = Replicas::default();
    replicas.on_entry(at(0), ReplicaEntry { started_ms: STARTED_MS, ..entry("r1", &[]) });
    let own = of_service(&replicas, Coverage::Unknown);
    assert_eq!(own, knows(None, &["v1"], 0));
    assert_eq!(StreamVersion::decide(&own, &[], Duration::ZERO), StreamVersion::Unknown);
}

/// Guards against an instance that counts as long there with no replica to tell versions by.
#[test]
fn an_instance_without_a_replica_knows_no_version() {
    let knowledge = of_service(&Replicas::default(), covering(1));
    assert_eq!(knowledge, knows(None, &[], 1));
}

/// Guards against an instance that doesn't tell others which replicas it saw leaving.
#[test]
fn an_instance_tells_which_replicas_of_the_service_left() {
    let mut replicas = Replicas::default();
    replicas.on_entry(at(0), entry("r1", &[]));
    replicas.on_entry(at(0), ReplicaEntry { service: "other".into(), ..entry("r2", &[]) });
    for gone in ["r1", "r2"] {
        replicas.on_removed(at(50), &name(gone), None);
    }
    let departed = of_service(&replicas, covering(1)).departed;
    assert_eq!(departed, [FormerReplica::removed(&entry("r1", &[]))]);
    assert_eq!(departed[0].departure, Departure::Silent);
}

/// Guards against a change of the form in which instances of different builds tell each other what
/// they know.
#[test]
fn knowledge_keeps_its_form_on_the_wire() {
    let known = knows(Some("v1"), &["v1", "v2"], 7);
    let text = serde_json::to_string(&known).unwrap();
    let older = r#"{"origin":"v1","versions":["v1","v2"],"known_for_ms":7000}"#;
    let newer = older.replace('}', r#","departed":[]}"#);
    assert_eq!(text, newer);
    assert_eq!(serde_json::from_str::<OriginKnowledge>(&text).unwrap(), known);
    assert_eq!(serde_json::from_str::<OriginKnowledge>(older).unwrap(), known);
    let unknown = newer.replace("7000", "0");
    let unknown = serde_json::from_str::<OriginKnowledge>(&unknown).unwrap();
    assert_eq!(unknown.coverage, Coverage::Unknown);
}

fn record(index: usize, draining: bool) -> PeerRecord {
    PeerRecord {
        name: InstanceName::new(&format!("entry-{index}")),
        addr: addr(index),
        started_ms: 1,
        heartbeat: 1,
        settled: true,
        draining,
        data_centre: None,
        reads_beats: true,
        cut_from: Vec::new(),
        gives_no_orders: false,
        link_mbps: 0,
    }
}

fn addr(index: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 9000 + index).parse().unwrap()
}

/// Instance `me` of a fleet that knows all others; some drain.
fn peers(me: usize, count: usize, draining: &[usize]) -> Peers {
    let mut peers = Peers::new(record(me, false), Vec::new());
    let others = (0..count).filter(|index| *index != me);
    let gossip = PeerGossip {
        records: others.map(|index| record(index, draining.contains(&index))).collect(),
        heartbeats: Vec::new(),
        needs_all_records: false,
        roster: 0,
        beats: Beats::None,
    };
    peers.on_gossip(at(0), gossip);
    peers
}

/// Guards against an instance that takes a stream up and asks others than those that were told.
#[test]
fn whoever_takes_a_stream_up_asks_all_that_were_told() {
    for serial in 0..200 {
        let key = StreamKey::new(&format!("attempt-{serial}"));
        let told = peers(0, 9, &[]).witnesses(at(10), key, ORIGIN_WITNESSES);
        assert_eq!(told.len(), ORIGIN_WITNESSES);
        for asker in 1..9 {
            let asked = peers(asker, 9, &[]).witnesses(at(10), key, ORIGIN_LOOKUPS);
            let unasked: Vec<&SocketAddr> =
                told.iter().filter(|addr| !asked.contains(addr)).collect();
            assert!(unasked.iter().all(|unasked| **unasked == addr(asker)), "{key:?}");
        }
    }
}

/// Guards against streams that are all remembered by the same few instances.
#[test]
fn streams_spread_over_the_instances() {
    let all = peers(0, 9, &[]);
    let keys = (0..50).map(|serial| StreamKey::new(&format!("attempt-{serial}")));
    let told: BTreeSet<SocketAddr> =
        keys.flat_map(|key| all.witnesses(at(10), key, ORIGIN_WITNESSES)).collect();
    assert_eq!(told.len(), 8);
}

/// Guards against witnesses that end right after they were told, and against none when all drain.
#[test]
fn draining_instances_are_witnesses_last() {
    let key = StreamKey::new("attempt");
    let some = peers(0, 5, &[1, 2]).witnesses(at(10), key, 4);
    let first: BTreeSet<SocketAddr> = some[..2].iter().copied().collect();
    assert_eq!(first, BTreeSet::from([addr(3), addr(4)]));
    assert_eq!(some.len(), 4);
    assert_eq!(peers(0, 3, &[1, 2]).witnesses(at(10), key, 3).len(), 2);
}

/// Guards against witnesses that are gone.
#[test]
fn instances_that_are_silent_are_no_witnesses() {
    let all = peers(0, 5, &[]);
    assert_eq!(all.witnesses(at(2000), StreamKey(1), 4), Vec::<SocketAddr>::new());
}

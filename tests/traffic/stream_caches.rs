//! Streams of unknown origin, and what replicas' KV caches tell of them.

use std::time::Duration;

use tamaracklead::decide::traffic::CacheAnswer;
use tamaracklead::decide::traffic::CacheHolding;
use tamaracklead::decide::traffic::CacheListings;
use tamaracklead::decide::traffic::Departure;
use tamaracklead::decide::traffic::FormerReplica;
use tamaracklead::decide::traffic::OriginPresence;
use tamaracklead::decide::traffic::PossibleOrigin;
use tamaracklead::decide::traffic::PromptPart;
use tamaracklead::decide::traffic::ReplicaEntry;
use tamaracklead::decide::traffic::Replicas;
use tamaracklead::decide::traffic::StreamVersion;
use tamaracklead::names::BackendName;
use tamaracklead::names::ServiceName;
use tamaracklead::names::SoftwareVersion;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::entry;
use crate::support::key;

const PART: PromptPart = PromptPart { id: 7, tokens: 400 };
const OUTPUT_TOKENS: u64 = 50;

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::new(text)
}

fn answer(replica: &str, software: &str, tokens: Option<u64>) -> CacheAnswer {
    let holding = tokens.map(|tokens| CacheHolding { tokens, age: Duration::ZERO });
    CacheAnswer { replica: BackendName::new(replica), software: version(software), holding }
}

fn decide(answers: &[CacheAnswer]) -> StreamVersion {
    StreamVersion::from_caches(&PART, OUTPUT_TOKENS, answers)
}

/// Guards against streams that are refused although a replica of their version holds the prompt.
#[test]
fn the_version_whose_replicas_read_the_prompt_counts() {
    let old = answer("r1", "v1", Some(400));
    let new = answer("r2", "v2", Some(0));
    assert_eq!(decide(&[old.clone(), new]), StreamVersion::At(version("v1")));
    let same = answer("r3", "v1", Some(390));
    assert_eq!(decide(&[old, same]), StreamVersion::At(version("v1")));
}

/// Guards against a prompt that counts as not read because its last block is incomplete, and against an
/// earlier turn of the session that counts as the whole prompt.
#[test]
fn only_an_incomplete_block_may_be_missing() {
    assert_eq!(decide(&[answer("r1", "v1", Some(385))]), StreamVersion::At(version("v1")));
    assert_eq!(decide(&[answer("r1", "v1", Some(384))]), StreamVersion::Unknown);
    assert_eq!(decide(&[answer("r1", "v1", Some(0))]), StreamVersion::Unknown);
}

/// Guards against a later turn of the session, at another version, that is taken for the stream.
#[test]
fn a_replica_that_holds_more_than_the_stream_could_have_proves_nothing() {
    assert_eq!(decide(&[answer("r1", "v1", Some(450))]), StreamVersion::At(version("v1")));
    assert_eq!(decide(&[answer("r1", "v1", Some(451))]), StreamVersion::Unknown);
    let later_turn = answer("r1", "v1", Some(460));
    assert_eq!(decide(&[later_turn, answer("r2", "v2", Some(400))]), StreamVersion::Unknown);
}

/// Guards against a version that is guessed among two that may have begun the stream.
#[test]
fn a_replica_of_another_version_that_may_have_begun_the_stream_speaks_against_it() {
    let old = answer("r1", "v1", Some(400));
    for tokens in [None, Some(16)] {
        let new = answer("r2", "v2", tokens);
        assert_eq!(decide(&[old.clone(), new]), StreamVersion::Unknown, "{tokens:?}");
    }
    let new = answer("r2", "v2", Some(400));
    assert_eq!(decide(&[old.clone(), new]), StreamVersion::Contradictory);
    let silent = answer("r3", "v1", None);
    assert_eq!(decide(&[old, silent]), StreamVersion::At(version("v1")));
}

/// Guards against a stream that goes on at another version, as the replica that began it left and one
/// that had read its prompt in vain is still there.
#[test]
fn a_departed_replica_of_another_version_may_have_begun_the_stream() {
    let reader = answer("r1", "v1", Some(400));
    let with_departed = |software| decide(&[reader.clone(), answer("r2", software, None)]);
    assert_eq!(with_departed("v2"), StreamVersion::Unknown);
    assert_eq!(with_departed("v1"), StreamVersion::At(version("v1")));
}

fn origin(name: &str, started_ms: u64, presence: OriginPresence) -> PossibleOrigin {
    let entry = ReplicaEntry { started_ms, ..entry(name, &[]) };
    PossibleOrigin { presence, ..PossibleOrigin::from(&entry) }
}

fn listed(name: &str) -> PossibleOrigin {
    origin(name, 5, OriginPresence::Listed)
}

/// Guards against a former replica that is asked though it has ended, that counts though its streams
/// were resumed elsewhere, or that counts beside its own listing.
#[test]
fn former_replicas_are_possible_origins_by_what_became_of_them() {
    let former = |name: &str, started_ms, departure| {
        let entry = ReplicaEntry { started_ms, ..entry(name, &[]) };
        FormerReplica { departure, ..FormerReplica::removed(&entry) }
    };
    let former = [
        former("r1", 5, Departure::Silent),
        former("r1", 4, Departure::Ended),
        former("r2", 5, Departure::Silent),
        former("r3", 5, Departure::Ended),
        former("r4", 5, Departure::EndedInService),
        former("r5", 5, Departure::SilentInService),
    ];
    let all = PossibleOrigin::all(vec![listed("r1")], &former);
    let expected = [
        listed("r1"),
        origin("r1", 4, OriginPresence::Ended),
        origin("r2", 5, OriginPresence::MayRun),
        origin("r3", 5, OriginPresence::Ended),
        origin("r5", 5, OriginPresence::MayHaveEnded),
    ];
    assert_eq!(all, expected);
}

/// Guards against streams that are refused because of a replica that ended while instances served, and
/// against one that goes on although such a replica still runs and holds its prompt.
#[test]
fn a_replica_that_may_have_ended_counts_only_if_it_answers() {
    let holding = CacheHolding { tokens: 400, age: Duration::ZERO };
    for presence in [OriginPresence::Listed, OriginPresence::MayRun, OriginPresence::Ended] {
        assert!(origin("r1", 5, presence).answer(None).is_some());
    }
    let former = origin("r1", 5, OriginPresence::MayHaveEnded);
    assert_eq!(former.clone().answer(None), None);
    let answer = former.answer(Some(holding)).unwrap();
    assert_eq!(answer.holding, Some(holding));
}

/// Guards against streams that are refused once a replica that left has ended, although it was asked
/// while it still served.
#[test]
fn what_a_former_replica_listed_counts_for_as_long_as_streams_are_remembered() {
    let mut listings = CacheListings::default();
    let former = origin("r1", 5, OriginPresence::MayRun);
    listings.on_listing(&listed("r1"), at(0), Some(&[PART]));
    assert!(!listings.is_recent(at(10), &former), "it may have read more before it left");
    listings.on_listing(&former, at(10), Some(&[PART]));
    listings.on_listing(&former, at(3000), None);
    let tokens = |now| listings.holding(at(now), &former, PART.id).map(|holding| holding.tokens);
    assert!(listings.is_recent(at(50_000), &former));
    assert_eq!((tokens(50_000), tokens(60_010)), (Some(400), None));
}

/// Guards against requests that each wait for a replica that has ended.
#[test]
fn a_former_replica_that_does_not_answer_is_asked_again_after_seconds() {
    let mut listings = CacheListings::default();
    let former = origin("r1", 5, OriginPresence::MayRun);
    listings.on_listing(&former, at(0), None);
    assert!(listings.is_recent(at(4999), &former));
    assert!(!listings.is_recent(at(5000), &former));
    assert_eq!(listings.holding(at(10), &former, PART.id), None);
}

/// Guards against refusals for want of an answer that is known, and against answers of an earlier start
/// of a replica.
#[test]
fn a_listing_counts_for_the_start_that_it_is_from() {
    let mut listings = CacheListings::default();
    listings.on_listing(&listed("r1"), at(0), Some(&[PART]));
    let tokens = |now, started_ms, part| {
        let replica = origin("r1", started_ms, OriginPresence::Listed);
        listings.holding(at(now), &replica, part).map(|holding| holding.tokens)
    };
    assert_eq!(tokens(10, 5, PART.id), Some(400));
    assert_eq!(tokens(10, 5, 8), Some(0));
    assert_eq!(tokens(10, 6, PART.id), None);
    assert_eq!(listings.holding(at(10), &listed("r2"), PART.id), None);
}

/// Load: all instances were killed under load, and a hundred streams are taken up within a second. Guards
/// against a call to each replica for each of them.
#[test]
fn streams_that_are_taken_up_together_share_one_listing_of_each_replica() {
    let mut listings = CacheListings::default();
    let mut calls = 0;
    for now in (0..1000).step_by(10) {
        for replica in ["r1", "r2", "r3"] {
            let replica = listed(replica);
            if !listings.is_recent(at(now), &replica) {
                calls += 1;
                listings.on_listing(&replica, at(now), Some(&[PART]));
            }
            assert!(listings.holding(at(now), &replica, PART.id).is_some());
        }
    }
    assert_eq!(calls, 3);
    assert!(!listings.is_recent(at(1000), &listed("r1")));
}

/// Load: a fleet of 1,900 replicas. Guards against calls for one stream that grow with the fleet, and
/// against instances that ask other replicas for the same adapter.
#[test]
fn the_replicas_that_are_asked_are_the_first_homes_of_the_adapter() {
    let mut replicas = Replicas::default();
    for number in 0..1900 {
        replicas.on_entry(at(0), entry(&format!("r{number}"), &[]));
    }
    let service = ServiceName::new(SERVICE);
    let asked = replicas.cache_candidates(&service, &key("a1"), 16);
    assert_eq!(asked.len(), 16);
    let few = replicas.cache_candidates(&service, &key("a1"), 3);
    assert_eq!(asked[..3], few);
    assert_ne!(asked, replicas.cache_candidates(&service, &key("a2"), 16));
}

//! Replicas of one service that differ in speed.
//!
//! Load: a quarter of the replicas works at less than half of the speed of the others. Requests that
//! are shared out evenly pile up there, and their streams don't end within their deadlines.

use std::time::Duration;

use tamaracklead::decide::traffic::EventSplitter;
use tamaracklead::decide::traffic::HomeState;
use tamaracklead::decide::traffic::Presence;
use tamaracklead::decide::traffic::ReplicaPace;
use tamaracklead::decide::traffic::StreamPace;
use tamaracklead::decide::traffic::TypicalPace;
use tamaracklead::decide::traffic::preferred_homes;
use tamaracklead::names::Timestamp;

const FAST_GAP: Duration = Duration::from_millis(25);
const SLOW_GAP: Duration = Duration::from_millis(55);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn pace_of(gaps_ms: &[u64]) -> ReplicaPace {
    let mut pace = ReplicaPace::default();
    for gap in gaps_ms {
        pace.on_stream(at(0), Duration::from_millis(*gap));
    }
    pace
}

// Guards against a pace that is taken from the chunks in which a stream happens to arrive.
#[test]
fn the_pace_of_a_stream_counts_its_events_however_they_arrive() {
    let mut splitter = EventSplitter::default();
    let mut pace = StreamPace::default();
    for (ms, bytes) in [
        (0, "id: 1\ndata: a\n\n"),
        (90, "id: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\n"),
        (120, "data: d\n\n"),
    ] {
        splitter.push(bytes.as_bytes());
        pace.on_events(at(ms), splitter.pushed_events());
    }
    assert_eq!(pace.event_gap(), Some(Duration::from_millis(40)));
}

// Guards against an estimate from the end of a stream that was almost over.
#[test]
fn a_stream_of_few_events_has_no_pace() {
    let mut pace = StreamPace::default();
    pace.on_events(at(0), 1);
    pace.on_events(at(500), 2);
    assert_eq!(pace.event_gap(), None);
}

// Guards against a replica that counts as slow since other prompts were read during some streams.
#[test]
fn streams_that_were_stalled_do_not_make_a_replica_slow() {
    let pace = pace_of(&[25, 90, 26, 300, 24, 120, 25, 80]);
    assert_eq!(pace.event_gap(at(0)), Some(Duration::from_millis(25)));
}

// Guards against a speed that outlives the replica's trouble, or its start.
#[test]
fn a_pace_is_forgotten_with_time_and_at_a_restart() {
    let mut pace = pace_of(&[55, 55, 55]);
    assert_eq!(pace.event_gap(at(1000)), Some(SLOW_GAP));
    assert_eq!(pace.event_gap(at(60_000)), None);
    pace.clear();
    assert_eq!(pace.event_gap(at(1000)), None);
}

// Guards against noise that moves requests between replicas of the same speed.
#[test]
fn only_a_replica_that_is_clearly_slower_counts_as_slow() {
    let mut typical = TypicalPace::default();
    for _ in 0..30 {
        for gap in [FAST_GAP, FAST_GAP, FAST_GAP, SLOW_GAP] {
            typical.on_replica(gap);
        }
    }
    let slowness = |ms| typical.slowness(Some(Duration::from_millis(ms)));
    assert_eq!(slowness(25), 1.0);
    assert_eq!(slowness(36), 1.0);
    assert!((1.5..2.0).contains(&slowness(55)), "{}", slowness(55));
    assert_eq!(slowness(5_000), 4.0, "a stall isn't avoided at any price");
    assert_eq!(typical.slowness(None), 1.0);
}

// Guards against a slow home that gets as many long prompts as a fast one.
#[test]
fn a_long_prompt_goes_to_a_slow_home_only_if_the_fast_one_is_much_busier() {
    let home = |slowness, backlog_tokens| HomeState {
        slowness,
        backlog_tokens,
        presence: Presence::Absent,
        ..HomeState::default()
    };
    let first = |homes: &[HomeState], tokens| preferred_homes(homes, tokens)[0];
    assert_eq!(first(&[home(2.2, 0), home(1.0, 0)], 9_000), 1);
    assert_eq!(first(&[home(2.2, 0), home(1.0, 6_000)], 9_000), 1);
    assert_eq!(first(&[home(2.2, 0), home(1.0, 30_000)], 9_000), 0);
    assert_eq!(first(&[home(2.2, 0), home(1.0, 9_000)], 500), 0, "a short prompt hardly minds");
}

//! The way in which a topic is listed whose listings fail.

use std::time::Duration;

use tamaracklead::decide::traffic::ListingFailure;
use tamaracklead::decide::traffic::ListingPlan;
use tamaracklead::decide::traffic::ListingWay;
use tamaracklead::names::Timestamp;

const NOW: Timestamp = Timestamp::ZERO;

/// The ways of this many listings that fail.
fn ways_of(plan: &mut ListingPlan, failure: ListingFailure, count: usize) -> Vec<&'static str> {
    let mut ways = Vec::new();
    for _ in 0..count {
        ways.push(plan.way(false).name());
        plan.on_failure(NOW, failure, false);
    }
    ways
}

// Guards against a start that asks for ever for a listing which can't be read.
#[test]
fn each_way_is_tried_twice_and_then_the_first_one_again() {
    let mut plan = ListingPlan::new(true);
    let expected = ["old", "old", "current", "current", "part", "part", "incomplete", "incomplete"];
    assert_eq!(ways_of(&mut plan, ListingFailure::Unreadable, 8), expected);
    assert_eq!(plan.way(false), ListingWay::Old);
    let mut plan = ListingPlan::new(false);
    assert_eq!(ways_of(&mut plan, ListingFailure::Endless, 5)[4], "incomplete");
    assert_eq!(plan.way(true), ListingWay::Incomplete);
}

// Guards against costly listings of a store that is only down.
#[test]
fn a_store_that_gives_no_answer_is_asked_in_the_same_way() {
    let mut plan = ListingPlan::new(true);
    assert_eq!(ways_of(&mut plan, ListingFailure::Unanswered, 1000), ["old"; 1000]);
    assert_eq!(plan.pause(), Duration::ZERO);
    let ways = ways_of(&mut plan, ListingFailure::CutOff, 9);
    assert_eq!((ways[7], ways[8]), ("old", "current"));
    let mut plan = ListingPlan::new(true);
    ways_of(&mut plan, ListingFailure::Unreadable, 2);
    let ways = ways_of(&mut plan, ListingFailure::Unanswered, 25);
    assert_eq!((ways[7], ways[8], ways[16], ways[24]), ("current", "part", "incomplete", "old"));
}

// Guards against a store that is pressed by instances which can't read its listings.
#[test]
fn pauses_grow_with_each_round() {
    let mut plan = ListingPlan::new(false);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        pauses.push(plan.pause().as_secs());
        ways_of(&mut plan, ListingFailure::Unreadable, 6);
    }
    assert_eq!(pauses, [0, 1, 2, 4, 5]);
    plan.on_whole();
    assert_eq!(plan.pause(), Duration::ZERO);
}

// Guards against a log that fills with the ways of an instance that can't list.
#[test]
fn a_way_is_named_once() {
    let mut plan = ListingPlan::new(true);
    let named = (0..80).filter(|_| plan.on_failure(NOW, ListingFailure::Unreadable, false));
    assert_eq!(named.count(), 4);
}

// Guards against an instance that stays with a part for ever, and one that lists all the time beside it.
#[test]
fn the_whole_is_tried_again_now_and_then_after_a_part() {
    let mut plan = ListingPlan::new(true);
    plan.on_part(NOW);
    let mut now = NOW;
    let mut gaps = Vec::new();
    for _ in 0..7 {
        let before = now;
        while !plan.is_whole_due(now) {
            now = now + Duration::from_secs(1);
        }
        gaps.push(now.since(before).as_secs());
        assert_eq!(plan.way(true), ListingWay::Current);
        assert!(!plan.on_failure(now, ListingFailure::Unreadable, true));
    }
    assert_eq!(gaps, [10, 20, 40, 80, 160, 300, 300]);
    plan.on_part_lost();
    assert!(!plan.is_whole_due(now + Duration::from_secs(1000)));
    plan.on_whole();
    assert!(!plan.is_whole_due(now + Duration::from_secs(1000)));
}

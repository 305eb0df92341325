//! Admission of long prompts at one replica, one after the other.

use tamaracklead::decide::traffic::PromptTurns;
use tamaracklead::decide::traffic::TurnId;
use tamaracklead::names::InstanceName;

use crate::support::at;

const LONG: u64 = 9000;

fn turn(serial: u64) -> TurnId {
    TurnId { user: InstanceName::new("entry-1"), serial }
}

/// Guards against outputs in progress that get no token for too long, because the replica reads
/// several long prompts at once.
#[test]
fn long_prompts_are_read_one_after_the_other_in_order_of_arrival() {
    let mut turns = PromptTurns::default();
    assert!(turns.try_take_turn(at(0), &turn(1), LONG));
    assert!(!turns.try_take_turn(at(1), &turn(2), LONG));
    assert!(!turns.try_take_turn(at(2), &turn(3), LONG));
    turns.end(&turn(1));
    assert!(!turns.try_take_turn(at(300), &turn(3), LONG), "turn 2 was asked for before");
    assert!(turns.try_take_turn(at(300), &turn(2), LONG));
    assert!(!turns.try_take_turn(at(310), &turn(3), LONG));
    turns.end(&turn(2));
    assert!(turns.try_take_turn(at(600), &turn(3), LONG));
}

#[test]
fn prompts_with_few_unread_tokens_are_read_together() {
    let mut turns = PromptTurns::default();
    assert!(turns.try_take_turn(at(0), &turn(1), 2890));
    assert!(turns.try_take_turn(at(0), &turn(2), 2890));
    assert!(turns.try_take_turn(at(0), &turn(3), 2890));
    assert!(!turns.try_take_turn(at(0), &turn(4), 2890));
    assert!(!PromptTurns::is_needed(800));
    assert!(PromptTurns::is_needed(2890));
}

#[test]
fn a_prompt_that_gives_up_waiting_lets_the_next_one_go() {
    let mut turns = PromptTurns::default();
    assert!(turns.try_take_turn(at(0), &turn(1), LONG));
    assert!(!turns.try_take_turn(at(1), &turn(2), LONG));
    assert!(!turns.try_take_turn(at(2), &turn(3), LONG));
    turns.end(&turn(2));
    turns.end(&turn(1));
    assert!(turns.try_take_turn(at(300), &turn(3), LONG));
}

#[test]
fn a_turn_that_nobody_ends_expires() {
    let mut turns = PromptTurns::default();
    assert!(turns.try_take_turn(at(0), &turn(1), LONG));
    assert!(!turns.try_take_turn(at(1000), &turn(2), LONG));
    assert!(turns.try_take_turn(at(1600), &turn(2), LONG));
}

#[test]
fn a_prompt_above_the_limit_of_tokens_read_at_once_is_read_alone() {
    let mut turns = PromptTurns::default();
    assert!(turns.try_take_turn(at(0), &turn(1), 50_000));
    assert!(!turns.try_take_turn(at(1), &turn(2), 2000));
    turns.end(&turn(1));
    assert!(turns.try_take_turn(at(2), &turn(2), 2000));
    assert!(!turns.try_take_turn(at(3), &turn(3), 50_000));
}

/// Guards against a replica whose long prompts get no turn any more, since the first that waits
/// is of an instance that was killed.
#[test]
fn a_wait_that_nobody_ends_expires() {
    let mut turns = PromptTurns::default();
    assert!(turns.try_take_turn(at(0), &turn(1), LONG));
    assert!(!turns.try_take_turn(at(10), &turn(2), LONG), "its instance is killed now");
    turns.end(&turn(1));
    assert!(!turns.try_take_turn(at(1000), &turn(3), LONG), "turn 2 was asked for before");
    turns.end(&turn(3));
    assert!(turns.try_take_turn(at(3000), &turn(4), LONG), "turn 2 was asked for long ago");
}

/// Guards against a replica that counts as busy for long prompts without end, since the instance
/// whose prompts they were was killed.
#[test]
fn turns_and_waits_that_nobody_ends_are_no_backlog_for_long() {
    let mut turns = PromptTurns::default();
    assert!(turns.try_take_turn(at(0), &turn(1), LONG));
    assert!(!turns.try_take_turn(at(10), &turn(2), LONG));
    assert_eq!(turns.backlog_tokens(at(20)), 2 * LONG);
    assert_eq!(turns.backlog_tokens(at(3000)), 0);
}

//! Long prompts at one replica, one after the other.

use tamaracklead::decide::traffic::PromptTurns;
use tamaracklead::decide::traffic::TurnId;
use tamaracklead::names::InstanceName;

use crate::support::at;

const LONG: u64 = 9000;

fn ticket(serial: u64) -> TurnId {
    TurnId { user: InstanceName::new("entry-1"), serial }
}

/// Pattern: several long prompts for one replica at once, beside answers in progress.
#[test]
fn long_prompts_are_read_one_after_the_other_in_the_order_in_which_they_came() {
    let mut turns = PromptTurns::default();
    assert!(turns.ask(at(0), &ticket(1), LONG));
    assert!(!turns.ask(at(1), &ticket(2), LONG));
    assert!(!turns.ask(at(2), &ticket(3), LONG));
    turns.end(&ticket(1));
    assert!(!turns.ask(at(300), &ticket(3), LONG), "another came before");
    assert!(turns.ask(at(300), &ticket(2), LONG));
    assert!(!turns.ask(at(310), &ticket(3), LONG));
    turns.end(&ticket(2));
    assert!(turns.ask(at(600), &ticket(3), LONG));
}

#[test]
fn prompts_that_are_known_for_the_most_part_are_read_together() {
    let mut turns = PromptTurns::default();
    assert!(turns.ask(at(0), &ticket(1), 2890));
    assert!(turns.ask(at(0), &ticket(2), 2890));
    assert!(turns.ask(at(0), &ticket(3), 2890));
    assert!(!turns.ask(at(0), &ticket(4), 2890));
    assert!(!PromptTurns::is_needed(800));
    assert!(PromptTurns::is_needed(2890));
}

#[test]
fn one_that_gives_up_waiting_lets_the_next_go() {
    let mut turns = PromptTurns::default();
    assert!(turns.ask(at(0), &ticket(1), LONG));
    assert!(!turns.ask(at(1), &ticket(2), LONG));
    assert!(!turns.ask(at(2), &ticket(3), LONG));
    turns.end(&ticket(2));
    turns.end(&ticket(1));
    assert!(turns.ask(at(300), &ticket(3), LONG));
}

#[test]
fn a_turn_whose_end_nobody_tells_ends_by_itself() {
    let mut turns = PromptTurns::default();
    assert!(turns.ask(at(0), &ticket(1), LONG));
    assert!(!turns.ask(at(1000), &ticket(2), LONG));
    assert!(turns.ask(at(1600), &ticket(2), LONG));
}

#[test]
fn a_prompt_larger_than_all_that_may_be_read_at_once_is_read_alone() {
    let mut turns = PromptTurns::default();
    assert!(turns.ask(at(0), &ticket(1), 50_000));
    assert!(!turns.ask(at(1), &ticket(2), 2000));
    turns.end(&ticket(1));
    assert!(turns.ask(at(2), &ticket(2), 2000));
    assert!(!turns.ask(at(3), &ticket(3), 50_000));
}

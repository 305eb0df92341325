//! Leases and takeovers step by step: fencing numbers, waits for late messages, lease terms and
//! panels.

use std::time::Duration;

use tamaracklead::decide::engine::EngineScheduler;
use tamaracklead::decide::ownership::Candidate;
use tamaracklead::decide::ownership::Claimant;
use tamaracklead::decide::ownership::GroupId;
use tamaracklead::decide::ownership::LeaseAction;
use tamaracklead::decide::ownership::LeaseHolder;
use tamaracklead::decide::ownership::LeaseReply;
use tamaracklead::decide::ownership::LeaseTiming;
use tamaracklead::decide::ownership::PANEL_SIZE;
use tamaracklead::decide::ownership::panel;
use tamaracklead::decide::takeover::EngineQuery;
use tamaracklead::decide::takeover::FenceOutcome;
use tamaracklead::decide::takeover::OwnedAction;
use tamaracklead::decide::takeover::OwnedEngine;
use tamaracklead::decide::takeover::was_chosen_by;
use tamaracklead::names::BackendName;
use tamaracklead::names::DataCentre;
use tamaracklead::names::FencingNumber;
use tamaracklead::names::Incarnation;
use tamaracklead::names::InstanceName;
use tamaracklead::names::Timestamp;
use tamaracklead::names::WallTime;
use tamaracklead::wire::engine::EngineReport;
use tamaracklead::wire::listing::FencingMode;

const OWNER: Incarnation = Incarnation(7);
const NOW: Timestamp = Timestamp::ZERO;

fn group(data_centre: &str) -> GroupId {
    GroupId::new(&BackendName::new("e"), DataCentre::new(data_centre), FencingMode::Refuse)
}

fn candidate(number: usize, data_centre: &str) -> Candidate {
    Candidate {
        name: InstanceName::new(&format!("entry-{number}")),
        data_centre: DataCentre::new(data_centre),
    }
}

fn report(incarnation: u64, highest: u64) -> EngineReport {
    EngineReport {
        leaving: false,
        incarnation: Incarnation(incarnation),
        fencing: FencingNumber(highest),
        loaded: Vec::new(),
        age_ms: 0,
    }
}

/// The call number of the only query among the actions, and its fencing number if it fences.
fn query(actions: &[OwnedAction]) -> (u64, Option<FencingNumber>) {
    match actions {
        [OwnedAction::Query(EngineQuery::Running { call })] => (*call, None),
        [OwnedAction::Query(EngineQuery::Fence { call, number })] => (*call, Some(*number)),
        other => panic!("not one query: {other:?}"),
    }
}

/// An engine that was taken over, and the fencing number that it accepted.
fn taken_over(mode: FencingMode, highest: u64) -> (OwnedEngine, FencingNumber) {
    let timing = LeaseTiming::default();
    let mut owned =
        OwnedEngine::new(EngineScheduler::new(1, 1), mode, timing.max_message_delay, OWNER);
    let (call, _) = query(&owned.on_lease_acquired(NOW, WallTime(0)));
    let (call, number) = query(&owned.on_report(NOW, call, &report(1, highest)));
    let settled_at = NOW + timing.max_message_delay;
    let (call, _) = query(&owned.on_fence(settled_at, call, FenceOutcome::Taken));
    assert_eq!(owned.takeover_state().fencing(), None);
    owned.on_report(settled_at, call, &report(1, number.unwrap().0));
    (owned, number.unwrap())
}

#[test]
fn a_takeover_fences_above_the_highest_number_before_it_owns() {
    for mode in [FencingMode::Refuse, FencingMode::Ignore] {
        let (owned, number) = taken_over(mode, 5);
        assert!(number > FencingNumber(5));
        assert!(was_chosen_by(number, OWNER));
        assert_eq!(owned.takeover_state().fencing(), Some(number));
    }
}

#[test]
fn two_owners_that_read_the_same_number_choose_different_ones() {
    let number = tamaracklead::decide::takeover::next_fencing_number;
    assert_ne!(number(FencingNumber(5), Incarnation(1)), number(FencingNumber(5), Incarnation(2)));
}

#[test]
fn an_engine_that_ignores_fencing_is_not_queried_while_late_messages_may_arrive() {
    let timing = LeaseTiming::default();
    let scheduler = EngineScheduler::new(1, 1);
    let mut owned =
        OwnedEngine::new(scheduler, FencingMode::Ignore, timing.max_message_delay, OWNER);
    let (call, _) = query(&owned.on_lease_acquired(NOW, WallTime(0)));
    let (call, _) = query(&owned.on_report(NOW, call, &report(1, 0)));
    assert_eq!(owned.on_fence(NOW, call, FenceOutcome::Taken), []);
    assert_eq!(owned.on_tick(NOW + timing.max_message_delay - Duration::from_millis(1)), []);
    query(&owned.on_tick(NOW + timing.max_message_delay));
}

#[test]
fn a_restarted_engine_is_fenced_again_before_anything_is_sent() {
    let (mut owned, _) = taken_over(FencingMode::Refuse, 5);
    let later = NOW + Duration::from_secs(10);
    let (call, _) = query(&owned.on_tick(later));
    let actions = owned.on_report(later, call, &report(2, 0));
    assert_eq!(owned.takeover_state().fencing(), None);
    query(&actions);
    let (mut informed, _) = taken_over(FencingMode::Refuse, 5);
    informed.on_incarnation(later, Incarnation(2));
    assert_eq!(informed.takeover_state().fencing(), None);
}

#[test]
fn a_lease_term_counts_from_before_the_request_was_sent() {
    let timing = LeaseTiming::default();
    let me = InstanceName::new("entry-1");
    let claimant = Claimant { name: me.clone(), incarnation: OWNER };
    let mut holder = LeaseHolder::new(group("a"), claimant, timing);
    let actions = holder.on_tick(NOW, true, std::slice::from_ref(&me));
    assert!(matches!(actions[..], [LeaseAction::Ask { .. }]));
    let answered = NOW + Duration::from_millis(900);
    let reply = LeaseReply { group: group("a"), round: 1, granted: true };
    assert_eq!(holder.on_reply(answered, &me, &reply), [LeaseAction::Acquired]);
    let last = NOW + timing.holder_term() - timing.max_message_delay;
    assert!(holder.may_act(last - Duration::from_millis(1)).is_ok());
    assert!(holder.may_act(last).is_err());
}

#[test]
fn a_panel_prefers_the_groups_own_data_centre() {
    let mut listed: Vec<Candidate> = (0..20).map(|number| candidate(number, "b")).collect();
    listed.extend((20..23).map(|number| candidate(number, "a")));
    let members = panel(&group("a"), &listed);
    assert_eq!(members.len(), PANEL_SIZE);
    let own = |name: &InstanceName| (20..23).any(|number| name == &candidate(number, "a").name);
    assert!(members[..3].iter().all(own));
    let owner = group("a").preferred_owner(&listed).unwrap();
    assert!(own(&owner));
}

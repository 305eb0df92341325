//! Quarantine of prompt parts that crash replicas.

use tamaracklead::decide::traffic::PromptGuard;
use tamaracklead::decide::traffic::PromptPart;
use tamaracklead::decide::traffic::QuarantineChange;
use tamaracklead::names::Timestamp;

use crate::support::at;
use crate::support::ms;
use crate::support::name;

/// The first part of all prompts.
pub const FIRST: u64 = 1;
/// The part that crashes replicas.
pub const BAD: u64 = 2;
/// A part of other prompts.
pub const OTHER: u64 = 7;

pub fn parts(ids: &[u64]) -> Vec<PromptPart> {
    ids.iter().map(|id| PromptPart { id: *id, tokens: 10 }).collect()
}

/// A crash of the replica `r<millis>` at this time.
pub fn crash(
    guard: &mut PromptGuard,
    millis: u64,
    ids: &[u64],
    begun: bool,
) -> Vec<QuarantineChange> {
    crash_at(guard, at(millis), &format!("r{millis}"), ids, begun)
}

pub fn crash_at(
    guard: &mut PromptGuard,
    now: Timestamp,
    replica: &str,
    ids: &[u64],
    begun: bool,
) -> Vec<QuarantineChange> {
    guard.on_crash(now, &name(replica), 1, &parts(ids), begun)
}

/// Tells `to` what `from` knows; their clocks may differ.
pub fn tell(from: &PromptGuard, from_now: Timestamp, to: &mut PromptGuard, to_now: Timestamp) {
    let (evidence, sound) = from.share(from_now);
    to.on_peer_evidence(to_now, &evidence, &sound);
}

pub fn culprit(guard: &PromptGuard, millis: u64, ids: &[u64]) -> Option<u64> {
    guard.quarantine(at(millis), &parts(ids)).map(|quarantine| quarantine.part)
}

/// A guard that saw three crashes under `BAD`, at 0, 1 and 2 s.
fn guard_with_quarantine() -> PromptGuard {
    let mut guard = PromptGuard::default();
    for millis in [0, 1000, 2000] {
        crash(&mut guard, millis, &[FIRST, BAD], true);
    }
    guard
}

/// Guards against a quarantine that comes too late, or that takes in the first part of all prompts.
#[test]
fn a_part_at_three_crashes_is_quarantined_and_a_first_part_sound_in_between_is_not() {
    let mut guard = PromptGuard::default();
    crash(&mut guard, 0, &[FIRST, BAD], true);
    crash(&mut guard, 400, &[FIRST, BAD], true);
    assert_eq!(culprit(&guard, 500, &[FIRST, BAD]), None, "two crashes aren't enough");
    guard.on_sound(at(600), &parts(&[FIRST, OTHER]));
    let changes = crash(&mut guard, 800, &[FIRST, BAD], true);
    assert_eq!(changes, [QuarantineChange { part: BAD, quarantined: true, score: 6 }]);
    assert_eq!(culprit(&guard, 900, &[FIRST, BAD]), Some(BAD));
    assert_eq!(culprit(&guard, 900, &[FIRST, OTHER]), None);
}

/// Guards against all requests of a caller being refused because of one part.
#[test]
fn a_first_part_that_was_never_seen_sound_is_not_blamed_for_the_more_specific_part() {
    let guard = guard_with_quarantine();
    assert_eq!(culprit(&guard, 2100, &[FIRST, BAD]), Some(BAD));
    assert_eq!(culprit(&guard, 2100, &[FIRST, OTHER]), None);
}

/// Guards against the first part being blamed because more of the requests at a crash had it.
#[test]
fn a_first_part_that_weighs_more_than_the_culprit_is_not_blamed_once_it_was_sound() {
    let mut guard = PromptGuard::default();
    guard.on_sound(at(0), &parts(&[FIRST, OTHER]));
    for millis in [1000, 1300, 1600, 1900, 2200] {
        crash(&mut guard, millis, &[FIRST, BAD], false);
        crash(&mut guard, millis, &[FIRST, OTHER + millis], true);
    }
    guard.on_sound(at(2300), &parts(&[FIRST, OTHER]));
    assert_eq!(culprit(&guard, 2400, &[FIRST, BAD]), Some(BAD));
    assert_eq!(culprit(&guard, 2400, &[FIRST, OTHER]), None);
}

/// Guards against an instance that waits until it has seen enough crashes by itself.
#[test]
fn crashes_that_several_instances_saw_add_up() {
    let mut guards = [PromptGuard::default(), PromptGuard::default(), PromptGuard::default()];
    for (guard, millis) in guards.iter_mut().zip([0, 300, 600]) {
        crash(guard, millis, &[FIRST, BAD], true);
        assert_eq!(culprit(guard, millis, &[FIRST, BAD]), None);
    }
    let mut other = PromptGuard::default();
    for guard in &guards {
        tell(guard, at(650), &mut other, at(660));
        tell(guard, at(650), &mut other, at(661));
    }
    assert_eq!(culprit(&other, 670, &[FIRST, BAD]), Some(BAD));
    assert_eq!(culprit(&other, 670, &[FIRST, OTHER]), None);
}

/// Guards against one crash that counts once for each instance that saw it.
#[test]
fn one_crash_that_several_instances_saw_counts_once() {
    let mut other = PromptGuard::default();
    for delay in [0, 4, 9, 300, 700] {
        let mut guard = PromptGuard::default();
        crash_at(&mut guard, at(delay), "r", &[FIRST, BAD], true);
        tell(&guard, at(delay), &mut other, at(delay));
    }
    assert_eq!(culprit(&other, 800, &[FIRST, BAD]), None);
}

/// Guards against requests that only shared a replica with the crashing ones being refused.
#[test]
fn bystanders_are_released_when_the_evidence_of_the_culprit_arrives() {
    let mut guard = PromptGuard::default();
    let mut peer = PromptGuard::default();
    for (millis, begun) in [(0, true), (1000, true), (2000, false)] {
        crash(&mut guard, millis, &[FIRST, OTHER], begun);
        crash(&mut peer, millis, &[FIRST, BAD], true);
    }
    assert_eq!(culprit(&guard, 2010, &[FIRST, OTHER]), Some(OTHER), "all that is known so far");
    tell(&peer, at(2010), &mut guard, at(2020));
    assert_eq!(culprit(&guard, 2030, &[FIRST, OTHER]), None);
    assert_eq!(culprit(&guard, 2030, &[FIRST, BAD]), Some(BAD));
}

/// Guards against two crashing parts that are blamed for each other's crashes, so that each in turn
/// is released.
#[test]
fn two_crashing_parts_stay_quarantined_together() {
    let mut guard = PromptGuard::default();
    let second = BAD + 1;
    for millis in [0, 1000, 2000] {
        crash(&mut guard, millis, &[FIRST, BAD], true);
        crash(&mut guard, millis, &[FIRST, second], false);
        guard.on_sound(at(millis + 100), &parts(&[FIRST]));
    }
    crash(&mut guard, 3000, &[FIRST, BAD], false);
    for millis in [3000, 4000, 5000] {
        crash(&mut guard, millis, &[FIRST, second], true);
        assert_eq!(culprit(&guard, millis, &[BAD]), Some(BAD), "at {millis} ms");
    }
    assert_eq!(culprit(&guard, 5000, &[second]), Some(second));
    assert_eq!(culprit(&guard, 5000, &[FIRST, OTHER]), None);
}

/// Guards against a bystander that weighs more, since heads of the culprit's responses were lost.
#[test]
fn a_part_that_was_sound_is_not_blamed_for_weighing_more_than_the_culprit() {
    let mut guard = PromptGuard::default();
    guard.on_sound(at(0), &parts(&[FIRST, OTHER]));
    for (millis, begun) in [(1000, true), (1300, false), (1600, true)] {
        crash(&mut guard, millis, &[FIRST, OTHER], true);
        crash(&mut guard, millis, &[FIRST, BAD], begun);
    }
    assert_eq!(culprit(&guard, 1700, &[BAD]), Some(BAD));
    assert_eq!(culprit(&guard, 1700, &[FIRST, OTHER]), None);
}

/// Guards against a rare part that stays quarantined since a stream with it broke off once more
/// after the culprit was known.
#[test]
fn a_bystander_that_was_never_sound_is_not_blamed_for_one_more_crash() {
    let mut guard = guard_with_quarantine();
    crash(&mut guard, 0, &[FIRST, OTHER], true);
    crash(&mut guard, 2500, &[FIRST, BAD], false);
    crash(&mut guard, 2500, &[FIRST, OTHER], true);
    guard.on_sound(at(3000), &parts(&[FIRST]));
    crash(&mut guard, 9000, &[FIRST, OTHER], true);
    assert_eq!(culprit(&guard, 9100, &[FIRST, OTHER]), None);
    assert_eq!(culprit(&guard, 9100, &[BAD]), Some(BAD));
}

/// Guards against a restarted instance that learns of one of two parts that crash replicas at the
/// same time.
#[test]
fn a_restarted_instance_learns_of_two_parts_that_share_crashes() {
    let mut guard = PromptGuard::default();
    let second = BAD + 1;
    for millis in [0, 1000, 2000] {
        crash(&mut guard, millis, &[FIRST, BAD], true);
        crash(&mut guard, millis, &[FIRST, second], false);
    }
    for millis in [3000, 4000, 5000] {
        crash(&mut guard, millis, &[FIRST, second], true);
        guard.on_sound(at(millis + 100), &parts(&[FIRST]));
    }
    let mut restarted = PromptGuard::default();
    tell(&guard, at(100_000), &mut restarted, Timestamp::ZERO);
    for part in [BAD, second] {
        assert_eq!(culprit(&guard, 100_000, &[part]), Some(part));
        assert!(restarted.quarantine(Timestamp::ZERO, &parts(&[part])).is_some(), "{part}");
    }
}

/// Guards against a bystander that was sound before being blamed instead of the culprit.
#[test]
fn of_parts_at_the_same_crashes_the_one_that_was_never_sound_is_blamed() {
    let mut guard = PromptGuard::default();
    guard.on_sound(at(0), &parts(&[FIRST, OTHER]));
    for millis in [1000, 2000, 3000] {
        crash(&mut guard, millis, &[FIRST, OTHER], true);
        crash(&mut guard, millis, &[FIRST, BAD], true);
    }
    assert_eq!(culprit(&guard, 3010, &[FIRST, BAD]), Some(BAD));
    assert_eq!(culprit(&guard, 3010, &[FIRST, OTHER]), None);
}

/// Guards against a quarantine of whatever ran on a rack that lost its power.
#[test]
fn replicas_that_all_fail_within_200_ms_count_once() {
    let mut guard = PromptGuard::default();
    for millis in [0, 20, 50, 120, 150, 199] {
        crash(&mut guard, millis, &[FIRST, OTHER], true);
    }
    assert_eq!(culprit(&guard, 250, &[FIRST, OTHER]), None);
    assert!(guard.may_retry(&parts(&[FIRST, OTHER])));
}

/// Guards against a part that stays quarantined although a replica goes on with it.
#[test]
fn a_part_is_released_at_all_instances_as_soon_as_a_response_with_it_goes_on() {
    let mut guard = guard_with_quarantine();
    let mut peer = PromptGuard::default();
    tell(&guard, at(2100), &mut peer, at(2110));
    assert_eq!(culprit(&peer, 2120, &[FIRST, BAD]), Some(BAD));
    let changes = guard.on_sound(at(2500), &parts(&[FIRST, BAD]));
    assert!(changes.contains(&QuarantineChange { part: BAD, quarantined: false, score: 0 }));
    assert_eq!(culprit(&guard, 2510, &[FIRST, BAD]), None);
    tell(&guard, at(2510), &mut peer, at(2520));
    assert_eq!(culprit(&peer, 2530, &[FIRST, BAD]), None);
    tell(&peer, at(2540), &mut guard, at(2550));
    assert_eq!(culprit(&guard, 2560, &[FIRST, BAD]), None, "no echo of the older crashes");
}

/// Guards against an instance that sends crashing requests again because it has restarted.
#[test]
fn a_restarted_instance_learns_of_crashes_older_than_its_process() {
    let guard = guard_with_quarantine();
    let mut restarted = PromptGuard::default();
    let its_now = Timestamp::from_millis(20);
    tell(&guard, at(32_000), &mut restarted, its_now);
    let quarantine = restarted.quarantine(its_now, &parts(&[FIRST, BAD])).unwrap();
    assert_eq!(quarantine.part, BAD);
    assert_eq!(quarantine.left, ms(30_000));
    assert_eq!(restarted.quarantine(its_now, &parts(&[FIRST, OTHER])), None);
    let mut third = PromptGuard::default();
    tell(&restarted, its_now + ms(10_000), &mut third, Timestamp::ZERO);
    let left = third.quarantine(Timestamp::ZERO, &parts(&[BAD])).map(|quarantine| quarantine.left);
    assert_eq!(left, Some(ms(20_000)), "it passes the crashes on");
}

/// Guards against an instance that restarts more than a minute after the first crashes, or after a
/// relapse, and sends the part again.
#[test]
fn a_restarted_instance_learns_of_crashes_older_than_a_minute() {
    let mut guard = guard_with_quarantine();
    let bad = parts(&[FIRST, BAD]);
    for millis in [61_900, 70_000, 3_000_000] {
        let mut restarted = PromptGuard::default();
        tell(&guard, at(millis), &mut restarted, Timestamp::ZERO);
        assert!(restarted.quarantine(Timestamp::ZERO, &bad).is_some(), "at {millis} ms");
    }
    crash(&mut guard, 62_500, &[FIRST, BAD], true);
    let mut restarted = PromptGuard::default();
    tell(&guard, at(100_000), &mut restarted, Timestamp::ZERO);
    let left = restarted.quarantine(Timestamp::ZERO, &bad).map(|quarantine| quarantine.left);
    assert_eq!(left, Some(ms(82_500)));
}

/// Guards against rare crashes of other causes that add up over hours.
#[test]
fn crashes_more_than_a_minute_apart_do_not_add_up() {
    let mut guard = PromptGuard::default();
    for millis in [0, 1000, 61_500, 62_500, 123_000] {
        crash(&mut guard, millis, &[FIRST, OTHER], true);
        assert_eq!(culprit(&guard, millis, &[FIRST, OTHER]), None, "at {millis} ms");
    }
}

/// Guards against more than one request that is sent to find out whether a part still crashes
/// replicas.
#[test]
fn one_probe_may_be_sent_after_the_quarantine() {
    let mut guard = guard_with_quarantine();
    let bad = parts(&[FIRST, BAD]);
    assert_eq!(guard.quarantine(at(61_990), &bad).map(|q| q.left), Some(ms(10)));
    assert_eq!(guard.quarantine(at(62_000), &bad).map(|q| q.left), Some(ms(0)));
    assert!(guard.try_probe(at(62_000), BAD));
    assert!(!guard.try_probe(at(62_001), BAD));
    assert!(!guard.try_probe(at(121_999), BAD));
    assert!(guard.try_probe(at(122_001), BAD), "the first one may have been lost");
}

/// Guards against a part that crashes a replica each minute from then on.
#[test]
fn a_relapse_doubles_the_quarantine() {
    let mut guard = guard_with_quarantine();
    let bad = parts(&[FIRST, BAD]);
    crash(&mut guard, 62_600, &[FIRST, BAD], true);
    assert_eq!(guard.quarantine(at(62_600), &bad).map(|q| q.left), Some(ms(120_000)));
    crash(&mut guard, 182_700, &[FIRST, BAD], true);
    assert_eq!(guard.quarantine(at(182_700), &bad).map(|q| q.left), Some(ms(240_000)));
    let mut restarted = PromptGuard::default();
    tell(&guard, at(190_000), &mut restarted, Timestamp::ZERO);
    let left = restarted.quarantine(Timestamp::ZERO, &bad).map(|q| q.left);
    assert_eq!(left, Some(ms(232_700)), "and a restarted instance knows it");
}

/// Guards against crashing requests that are never known, since no head of a response arrives.
#[test]
fn a_part_is_quarantined_if_all_its_requests_were_still_waiting() {
    let mut guard = PromptGuard::default();
    for millis in [0, 500, 1000, 1500, 2000] {
        assert_eq!(culprit(&guard, millis, &[FIRST, BAD]), None);
        crash(&mut guard, millis, &[FIRST, BAD], false);
        guard.on_sound(at(millis + 100), &parts(&[FIRST, OTHER]));
    }
    assert_eq!(culprit(&guard, 2200, &[FIRST, BAD]), Some(BAD));
    assert_eq!(culprit(&guard, 2200, &[FIRST, OTHER]), None);
}

/// Guards against requests that are sent again and crash a second replica.
#[test]
fn a_request_with_a_part_at_two_crashes_is_not_sent_again() {
    let mut guard = PromptGuard::default();
    guard.on_sound(at(0), &parts(&[FIRST, OTHER]));
    crash(&mut guard, 500, &[FIRST, BAD], true);
    assert!(guard.may_retry(&parts(&[FIRST, BAD])));
    crash(&mut guard, 1000, &[FIRST, BAD], true);
    assert!(!guard.may_retry(&parts(&[FIRST, BAD])));
    assert!(guard.may_retry(&parts(&[FIRST, OTHER])));
}

//! Release of prompt parts that were quarantined wrongly.

use tamaracklead::decide::traffic::PromptGuard;

use crate::prompt_guard::BAD;
use crate::prompt_guard::FIRST;
use crate::prompt_guard::OTHER;
use crate::prompt_guard::crash;
use crate::prompt_guard::culprit;
use crate::prompt_guard::parts;
use crate::prompt_guard::tell;
use crate::support::at;
use crate::support::ms;

/// Guards against an instance that blames the first part of all prompts while it hears of nobody,
/// refuses all requests, and can't find out that the part is sound.
#[test]
fn an_instance_that_was_cut_off_is_told_that_a_part_is_sound() {
    let (mut cut_off, mut other) = (PromptGuard::default(), PromptGuard::default());
    for millis in [0, 300, 600] {
        crash(&mut cut_off, millis, &[FIRST, OTHER + millis], true);
    }
    assert_eq!(culprit(&cut_off, 700, &[FIRST, OTHER]), Some(FIRST));
    other.on_sound(at(1000), &parts(&[FIRST, OTHER]));
    tell(&cut_off, at(1500), &mut other, at(1510));
    tell(&other, at(1600), &mut cut_off, at(1610));
    assert_eq!(culprit(&cut_off, 1700, &[FIRST, OTHER]), None);
    assert_eq!(culprit(&other, 1700, &[FIRST, OTHER]), None);
}

/// Guards against the first part being blamed for what is left of crashes that the culprit explains
/// in part, as its responses' heads were lost.
#[test]
fn a_part_that_was_sound_is_not_blamed_for_crashes_that_another_part_explains() {
    let mut guard = PromptGuard::default();
    guard.on_sound(at(0), &parts(&[FIRST, OTHER]));
    for millis in [1000, 1300, 1600, 1900, 2200] {
        crash(&mut guard, millis, &[FIRST, BAD], false);
        crash(&mut guard, millis, &[FIRST, OTHER + millis], true);
    }
    assert_eq!(culprit(&guard, 2400, &[FIRST, BAD]), Some(BAD));
    assert_eq!(culprit(&guard, 2400, &[FIRST, OTHER]), None);
}

/// Guards against a caller whose requests are all refused for a minute, since the first part of
/// their prompts was at crashes of other causes.
#[test]
fn a_part_that_was_sound_is_tried_again_every_two_seconds() {
    let mut guard = PromptGuard::default();
    guard.on_sound(at(0), &parts(&[FIRST, OTHER]));
    for millis in [1000, 1300, 1600] {
        crash(&mut guard, millis, &[FIRST, OTHER + millis], true);
    }
    let first = parts(&[FIRST, OTHER]);
    assert_eq!(guard.quarantine(at(1700), &first).map(|q| q.left), Some(ms(1900)));
    assert_eq!(guard.quarantine(at(3600), &first).map(|q| q.left), Some(ms(0)));
    assert!(guard.try_probe(at(3600), FIRST));
    assert!(!guard.try_probe(at(5500), FIRST));
    assert!(guard.try_probe(at(5700), FIRST));
}

/// Guards against a part that hardly anybody may probe: in a large fleet the first prober may not get
/// a request with it for long.
#[test]
fn more_instances_may_probe_the_longer_a_quarantine_is_over() {
    let mut guard = PromptGuard::default();
    for millis in [0, 1000, 2000] {
        crash(&mut guard, millis, &[FIRST, BAD], true);
    }
    let bad = parts(&[FIRST, BAD]);
    let probers = |now| guard.quarantine(at(now), &bad).map(|q| q.probers);
    assert_eq!(probers(61_000), Some(0));
    assert_eq!(probers(62_000), Some(1));
    assert_eq!(probers(72_000), Some(2));
    assert_eq!(probers(142_000), Some(256));
}

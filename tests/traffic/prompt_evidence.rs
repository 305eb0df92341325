//! What a guard of prompt parts keeps and tells others when much happens at once.

use tamaracklead::decide::traffic::Beats;
use tamaracklead::decide::traffic::PeerGossip;
use tamaracklead::decide::traffic::PromptGuard;
use tamaracklead::wire::frame::decode;
use tamaracklead::wire::frame::encode;
use tamaracklead::wire::relay::Exchange;
use tamaracklead::wire::relay::ViewDigests;

use crate::prompt_guard::BAD;
use crate::prompt_guard::FIRST;
use crate::prompt_guard::crash;
use crate::prompt_guard::crash_at;
use crate::prompt_guard::culprit;
use crate::prompt_guard::parts;
use crate::support::at;

/// Most items of one kind in a message.
const MAX_SHARED: usize = 64;

/// Guards against gossip that costs bytes when nothing happens.
#[test]
fn nothing_is_shared_while_no_replica_crashes() {
    let mut guard = PromptGuard::default();
    assert_eq!(guard.share(at(0)), (Vec::new(), Vec::new()));
    for id in 0..1000 {
        guard.on_sound(at(id), &parts(&[FIRST, id]));
    }
    assert_eq!(guard.share(at(1000)), (Vec::new(), Vec::new()));
}

/// Guards against gossip that costs bytes for a minute after each crash: only the crashes of
/// culprits are shared for longer than three seconds.
#[test]
fn parts_that_were_sound_are_shared_for_three_seconds_after_a_crash() {
    let mut guard = PromptGuard::default();
    for id in 100..200 {
        guard.on_sound(at(0), &parts(&[id]));
        crash(&mut guard, 1000, &[FIRST, id], true);
    }
    assert_eq!(guard.share(at(3900)).1.len(), MAX_SHARED);
    assert_eq!(guard.share(at(4100)), (Vec::new(), Vec::new()));
}

/// Guards against messages that grow with the number of requests at crashed replicas.
#[test]
fn what_is_shared_is_bounded() {
    let mut guard = PromptGuard::default();
    for id in 100..400 {
        guard.on_sound(at(0), &parts(&[id]));
    }
    for millis in [1000, 1300, 1600] {
        for id in 100..400 {
            crash(&mut guard, millis, &[FIRST, id], true);
        }
    }
    let (evidence, sound) = guard.share(at(1700));
    assert_eq!((evidence.len(), sound.len()), (MAX_SHARED, MAX_SHARED));
}

/// Guards against a culprit that is forgotten since many other parts are suspected.
#[test]
fn hundreds_of_suspects_do_not_hide_a_new_culprit() {
    let mut guard = PromptGuard::default();
    for id in 1000..1400 {
        crash(&mut guard, id, &[FIRST, id], true);
    }
    guard.on_sound(at(2000), &parts(&[FIRST]));
    for millis in [3000, 3500, 4000] {
        crash(&mut guard, millis, &[FIRST, BAD], true);
    }
    assert_eq!(culprit(&guard, 4100, &[FIRST, BAD]), Some(BAD));
}

/// Guards against a culprit that is forgotten when a rack fails between its crashes.
#[test]
fn hundreds_of_newer_suspects_do_not_hide_a_culprit() {
    let mut guard = PromptGuard::default();
    for millis in [0, 2000, 4000] {
        crash(&mut guard, millis, &[FIRST, BAD], true);
        guard.on_sound(at(millis + 100), &parts(&[FIRST]));
        for id in 0..300 {
            let replica = format!("rack {millis} {}", id % 12);
            crash_at(&mut guard, at(millis + 200), &replica, &[1000 + millis + id], true);
        }
    }
    assert_eq!(culprit(&guard, 4300, &[FIRST, BAD]), Some(BAD));
}

/// Guards against news of a culprit that no peer gets when a rack fails soon after its crash.
#[test]
fn hundreds_of_newer_suspects_do_not_keep_news_of_a_culprit_from_peers() {
    let mut guard = PromptGuard::default();
    for millis in [0, 300] {
        crash(&mut guard, millis, &[FIRST, BAD], true);
    }
    for id in 0..300 {
        crash_at(&mut guard, at(310), &format!("rack {}", id % 12), &[1000 + id], true);
    }
    let (evidence, _) = guard.share(at(320));
    let about_culprit = evidence.iter().filter(|item| item.part == BAD).count();
    assert_eq!(about_culprit, 2);
}

/// Guards against runs with equal seeds that differ, by the order in which a map is read.
#[test]
fn guards_that_know_the_same_share_the_same() {
    let shared = || {
        let mut guard = PromptGuard::default();
        for id in 0..300 {
            guard.on_sound(at(0), &parts(&[1000 + id]));
            crash_at(&mut guard, at(310), &format!("rack {}", id % 12), &[1000 + id], true);
        }
        guard.share(at(320))
    };
    assert_eq!(shared(), shared());
}

/// Guards against bytes in every message of a fleet in which nothing crashes.
#[test]
fn an_exchange_without_evidence_is_as_long_as_one_of_an_older_process() {
    let peers = PeerGossip {
        records: Vec::new(),
        heartbeats: Vec::new(),
        needs_all_records: false,
        roster: 0,
        beats: Beats::None,
    };
    let idle = Exchange {
        peers,
        fence: 0,
        owned: Vec::new(),
        loads: Vec::new(),
        use_serial: 0,
        strikes: Vec::new(),
        strike_ages_ms: Vec::new(),
        views: ViewDigests::default(),
        leaving: Vec::new(),
        crash_evidence: Vec::new(),
        sound_parts: Vec::new(),
        limits: Vec::new(),
        config_proof: None,
    };
    let bytes = encode(&idle).unwrap();
    for field in ["strike_ages_ms", "crash_evidence", "sound_parts", "config_proof"] {
        let is_there = bytes.windows(field.len()).any(|window| window == field.as_bytes());
        assert!(!is_there, "{field}");
    }
    assert_eq!(decode::<Exchange>(&bytes).unwrap(), idle);
}

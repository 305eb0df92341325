//! Strikes, clearances and permits of one instance.

use std::time::Duration;

use tamaracklead::decide::quarantine::Clearance;
use tamaracklead::decide::quarantine::Fingerprint;
use tamaracklead::decide::quarantine::FirstEngineCheck;
use tamaracklead::decide::quarantine::PermitReply;
use tamaracklead::decide::quarantine::QuarantineDecision;
use tamaracklead::decide::quarantine::RunPermits;
use tamaracklead::decide::quarantine::Strike;
use tamaracklead::decide::quarantine::StrikeTable;
use tamaracklead::names::AdapterName;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::BackendName;
use tamaracklead::names::Incarnation;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;
use tamaracklead::names::Version;

const NOW: Timestamp = Timestamp::ZERO;

fn fingerprint(prompt: &str) -> Fingerprint {
    let adapter = AdapterRef::new(AdapterName::new("a"), Version(1));
    Fingerprint::of(&adapter, prompt, 10)
}

fn strike(prompt: &str, engine: &str, incarnation: u64) -> Strike {
    Strike {
        fingerprint: fingerprint(prompt),
        engine: BackendName::new(engine),
        incarnation: Incarnation(incarnation),
    }
}

#[test]
fn the_second_strike_refuses_and_the_first_isolates() {
    let mut book = StrikeTable::default();
    assert_eq!(book.decision(NOW, fingerprint("p")), QuarantineDecision::Run);
    book.on_strike(NOW, strike("p", "e1", 1));
    assert_eq!(book.decision(NOW, fingerprint("p")), QuarantineDecision::Alone);
    book.on_strike(NOW, strike("p", "e2", 1));
    assert!(matches!(book.decision(NOW, fingerprint("p")), QuarantineDecision::Refuse { .. }));
}

#[test]
fn a_strike_told_twice_counts_once() {
    let mut book = StrikeTable::default();
    book.on_strike(NOW, strike("p", "e1", 1));
    book.on_strike(NOW, strike("p", "e1", 1));
    assert_eq!(book.decision(NOW, fingerprint("p")), QuarantineDecision::Alone);
}

#[test]
fn a_request_that_ran_alone_to_its_end_is_cleared_whatever_the_order_of_news() {
    let mut here = StrikeTable::default();
    here.on_strike(NOW, strike("p", "e1", 1));
    let clearance = here.clear(NOW, fingerprint("p")).unwrap();
    assert_eq!(here.decision(NOW, fingerprint("p")), QuarantineDecision::Run);

    let mut there = StrikeTable::default();
    there.on_clearance(NOW, &clearance);
    there.on_strike(NOW, strike("p", "e1", 1));
    assert_eq!(there.decision(NOW, fingerprint("p")), QuarantineDecision::Run);
    there.on_strike(NOW, strike("p", "e2", 1));
    assert_eq!(there.decision(NOW, fingerprint("p")), QuarantineDecision::Alone);
}

#[test]
fn strikes_expire() {
    let mut book = StrikeTable::default();
    book.on_strike(NOW, strike("p", "e1", 1));
    book.on_strike(NOW, strike("p", "e2", 1));
    let later = NOW + Duration::from_secs(600);
    assert_eq!(book.decision(later, fingerprint("p")), QuarantineDecision::Run);
    book.on_clearance(later, &Clearance { strikes: Vec::new() });
    assert!(book.is_empty());
}

#[test]
fn memory_is_bounded_and_keeps_the_refused() {
    let mut book = StrikeTable::default();
    book.on_strike(NOW, strike("poison", "e1", 1));
    book.on_strike(NOW, strike("poison", "e2", 1));
    for number in 0..5_000 {
        book.on_strike(NOW, strike(&format!("p{number}"), "e1", 1));
    }
    assert_eq!(book.len(), 4096);
    assert!(matches!(book.decision(NOW, fingerprint("poison")), QuarantineDecision::Refuse { .. }));
}

#[test]
fn fingerprints_tell_adapter_version_body_and_length_apart() {
    let adapter = |name: &str, version| AdapterRef::new(AdapterName::new(name), Version(version));
    let all = [
        Fingerprint::of(&adapter("a", 1), "p", 10),
        Fingerprint::of(&adapter("b", 1), "p", 10),
        Fingerprint::of(&adapter("a", 2), "p", 10),
        Fingerprint::of(&adapter("a", 1), "q", 10),
        Fingerprint::of(&adapter("a", 1), "p", 11),
    ];
    for (index, one) in all.iter().enumerate() {
        assert_eq!(all.iter().position(|other| other == one), Some(index));
    }
    assert_eq!(all[0], fingerprint("p"));
}

#[test]
fn one_permit_is_given_at_a_time() {
    let mut permits = RunPermits::default();
    let mut ask = |request| {
        let request = RequestId(request);
        permits.ask(
            NOW,
            fingerprint("p"),
            request,
            QuarantineDecision::Run,
            FirstEngineCheck::NotAsked,
        )
    };
    assert_eq!(ask(1), PermitReply::Granted { alone: false });
    assert_eq!(ask(1), PermitReply::Granted { alone: false });
    assert!(matches!(ask(2), PermitReply::Busy { .. }));
    permits.finish(fingerprint("p"), RequestId(2));
    let late = permits.ask(
        NOW,
        fingerprint("p"),
        RequestId(2),
        QuarantineDecision::Run,
        FirstEngineCheck::NotAsked,
    );
    assert!(matches!(late, PermitReply::Busy { .. }));
    permits.finish(fingerprint("p"), RequestId(1));
    let after = permits.ask(
        NOW,
        fingerprint("p"),
        RequestId(2),
        QuarantineDecision::Run,
        FirstEngineCheck::NotAsked,
    );
    assert_eq!(after, PermitReply::Granted { alone: false });
}

#[test]
fn a_request_with_a_strike_needs_the_word_of_its_first_engines_owner() {
    let refused = QuarantineDecision::Refuse { retry_after: Duration::from_secs(1) };
    let cases = [
        (QuarantineDecision::Alone, FirstEngineCheck::NotAsked, PermitReply::AskFirst),
        (
            QuarantineDecision::Alone,
            FirstEngineCheck::Confirmed,
            PermitReply::Granted { alone: true },
        ),
        (
            QuarantineDecision::Alone,
            FirstEngineCheck::Occupied,
            PermitReply::Busy { retry_after: Duration::from_millis(200) },
        ),
        (
            refused,
            FirstEngineCheck::Confirmed,
            PermitReply::Refused { retry_after: Duration::from_secs(1) },
        ),
    ];
    for (decision, first, expected) in cases {
        let mut permits = RunPermits::default();
        let reply = permits.ask(NOW, fingerprint("p"), RequestId(1), decision, first);
        assert_eq!(reply, expected, "{decision:?} {first:?}");
    }
}

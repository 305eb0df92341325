//! What strikes, clearances and run permits of one instance allow for a request.

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
fn one_strike_isolates_a_request_and_two_refuse_it() {
    let mut table = StrikeTable::default();
    assert_eq!(table.decision(NOW, fingerprint("p")), QuarantineDecision::Run);
    table.on_strike(NOW, strike("p", "e1", 1));
    assert_eq!(table.decision(NOW, fingerprint("p")), QuarantineDecision::Alone);
    table.on_strike(NOW, strike("p", "e2", 1));
    assert!(matches!(table.decision(NOW, fingerprint("p")), QuarantineDecision::Refuse { .. }));
}

#[test]
fn a_strike_received_twice_counts_once() {
    let mut table = StrikeTable::default();
    table.on_strike(NOW, strike("p", "e1", 1));
    table.on_strike(NOW, strike("p", "e1", 1));
    assert_eq!(table.decision(NOW, fingerprint("p")), QuarantineDecision::Alone);
}

#[test]
fn a_request_that_ran_alone_to_its_end_is_cleared_in_whatever_order_messages_arrive() {
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
    let mut table = StrikeTable::default();
    table.on_strike(NOW, strike("p", "e1", 1));
    table.on_strike(NOW, strike("p", "e2", 1));
    let later = NOW + Duration::from_secs(600);
    assert_eq!(table.decision(later, fingerprint("p")), QuarantineDecision::Run);
    table.on_clearance(later, &Clearance { strikes: Vec::new() });
    assert!(table.is_empty());
}

#[test]
fn the_table_is_bounded_and_keeps_refused_requests() {
    let mut table = StrikeTable::default();
    table.on_strike(NOW, strike("poison", "e1", 1));
    table.on_strike(NOW, strike("poison", "e2", 1));
    for number in 0..5_000 {
        table.on_strike(NOW, strike(&format!("p{number}"), "e1", 1));
    }
    assert_eq!(table.len(), 4096);
    assert!(matches!(
        table.decision(NOW, fingerprint("poison")),
        QuarantineDecision::Refuse { .. }
    ));
}

#[test]
fn fingerprints_differ_by_adapter_version_prompt_and_length() {
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
fn one_permit_is_granted_at_a_time() {
    let mut permits = RunPermits::default();
    let mut ask = |request| {
        let request = RequestId(request);
        permits.on_permit_request(
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
    let late = permits.on_permit_request(
        NOW,
        fingerprint("p"),
        RequestId(2),
        QuarantineDecision::Run,
        FirstEngineCheck::NotAsked,
    );
    assert!(matches!(late, PermitReply::Busy { .. }));
    permits.finish(fingerprint("p"), RequestId(1));
    let after = permits.on_permit_request(
        NOW,
        fingerprint("p"),
        RequestId(2),
        QuarantineDecision::Run,
        FirstEngineCheck::NotAsked,
    );
    assert_eq!(after, PermitReply::Granted { alone: false });
}

#[test]
fn a_request_with_a_strike_is_permitted_only_after_its_first_engines_owner_answered() {
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
        let reply = permits.on_permit_request(NOW, fingerprint("p"), RequestId(1), decision, first);
        assert_eq!(reply, expected, "{decision:?} {first:?}");
    }
}

//! Answers that don't belong to the request are withheld.

use tamaracklead::decide::echo::EchoCheck;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::AdapterName;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::Incarnation;
use tamaracklead::names::RequestId;
use tamaracklead::names::Version;
use tamaracklead::wire::engine::EngineEvent;

const MINE: RequestId = RequestId(1);
const OTHER: RequestId = RequestId(2);

fn adapter(name: &str, version: u64) -> AdapterRef {
    AdapterRef::new(AdapterName::new(name), Version(version))
}

fn started(request_id: RequestId, adapter: AdapterRef) -> EngineEvent {
    EngineEvent::Started { request_id, adapter, incarnation: Incarnation(1) }
}

fn token(request_id: RequestId) -> EngineEvent {
    EngineEvent::Token { request_id, text: "a".to_owned() }
}

fn done(request_id: RequestId, adapter: AdapterRef, tokens: u32) -> EngineEvent {
    EngineEvent::Done { request_id, adapter, tokens }
}

fn right() -> Vec<EngineEvent> {
    let adapter = adapter("a", 3);
    vec![started(MINE, adapter.clone()), token(MINE), token(MINE), done(MINE, adapter, 2)]
}

/// How many events pass before the first that is withheld.
fn passed(events: &[EngineEvent]) -> usize {
    let mut check = EchoCheck::new(MINE, adapter("a", 3));
    let results: Vec<_> = events.iter().map(|event| check.on_event(event)).collect();
    let passed = results.iter().take_while(|result| result.is_ok()).count();
    for late in &results[passed..] {
        assert_eq!(late.as_ref().unwrap_err().kind, ErrorKind::WrongAnswer);
    }
    assert_eq!(check.is_complete(), passed == events.len() && passed == right().len());
    passed
}

#[test]
fn a_right_answer_passes_whole() {
    assert_eq!(passed(&right()), 4);
}

#[test]
fn each_wrong_event_is_withheld_and_nothing_follows() {
    let a = adapter("a", 3);
    let cases = [
        ("start of another request", 0, started(OTHER, a.clone())),
        ("start by another adapter", 0, started(MINE, adapter("b", 3))),
        ("start by another version", 0, started(MINE, adapter("a", 2))),
        ("token before the start", 0, token(MINE)),
        ("end before the start", 0, done(MINE, a.clone(), 0)),
        ("second start", 1, started(MINE, a.clone())),
        ("token of another request", 1, token(OTHER)),
        ("token of another request", 2, token(OTHER)),
        ("end of another request", 3, done(OTHER, a.clone(), 2)),
        ("end by another adapter", 3, done(MINE, adapter("b", 3), 2)),
        ("end by another version", 3, done(MINE, adapter("a", 4), 2)),
        ("end with a token missing", 3, done(MINE, a.clone(), 3)),
        ("end with a token too many", 3, done(MINE, a, 1)),
    ];
    for (case, place, wrong) in cases {
        let mut events = right();
        events[place] = wrong;
        assert_eq!(passed(&events), place, "{case}");
    }
}

#[test]
fn an_answer_that_is_cut_off_is_not_complete() {
    let events = right();
    for len in 0..events.len() {
        assert_eq!(passed(&events[..len]), len);
    }
}

#[test]
fn nothing_passes_after_the_end() {
    let mut events = right();
    events.push(token(MINE));
    let mut check = EchoCheck::new(MINE, adapter("a", 3));
    let last = events.iter().map(|event| check.on_event(event)).next_back().unwrap();
    assert_eq!(last.unwrap_err().kind, ErrorKind::WrongAnswer);
}

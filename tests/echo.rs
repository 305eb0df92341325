//! Guards against a caller that gets parts of another request's, adapter's or version's answer.

use tamaracklead::decide::echo::EchoCheck;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::AdapterName;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::Incarnation;
use tamaracklead::names::RequestId;
use tamaracklead::names::Version;
use tamaracklead::wire::engine::EngineEvent;

const REQUEST: RequestId = RequestId(1);
const OTHER_REQUEST: RequestId = RequestId(2);

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

fn matching_answer() -> Vec<EngineEvent> {
    let adapter = adapter("a", 3);
    vec![
        started(REQUEST, adapter.clone()),
        token(REQUEST),
        token(REQUEST),
        done(REQUEST, adapter, 2),
    ]
}

/// How many events pass before the first that is withheld; all later ones must be withheld too.
fn passed(events: &[EngineEvent]) -> usize {
    let mut check = EchoCheck::new(REQUEST, adapter("a", 3));
    let results: Vec<_> = events.iter().map(|event| check.on_event(event)).collect();
    let passed = results.iter().take_while(|result| result.is_ok()).count();
    for late in &results[passed..] {
        assert_eq!(late.as_ref().unwrap_err().kind, ErrorKind::WrongAnswer);
    }
    assert_eq!(check.is_complete(), passed == events.len() && passed == matching_answer().len());
    passed
}

#[test]
fn a_matching_answer_passes_whole() {
    assert_eq!(passed(&matching_answer()), 4);
}

#[test]
fn each_wrong_event_is_withheld_and_nothing_follows() {
    let a = adapter("a", 3);
    let cases = [
        ("start of another request", 0, started(OTHER_REQUEST, a.clone())),
        ("start by another adapter", 0, started(REQUEST, adapter("b", 3))),
        ("start by another version", 0, started(REQUEST, adapter("a", 2))),
        ("token before the start", 0, token(REQUEST)),
        ("end before the start", 0, done(REQUEST, a.clone(), 0)),
        ("second start", 1, started(REQUEST, a.clone())),
        ("token of another request", 1, token(OTHER_REQUEST)),
        ("token of another request", 2, token(OTHER_REQUEST)),
        ("end of another request", 3, done(OTHER_REQUEST, a.clone(), 2)),
        ("end by another adapter", 3, done(REQUEST, adapter("b", 3), 2)),
        ("end by another version", 3, done(REQUEST, adapter("a", 4), 2)),
        ("end with a token missing", 3, done(REQUEST, a.clone(), 3)),
        ("end with a token too many", 3, done(REQUEST, a, 1)),
    ];
    for (case, index, wrong) in cases {
        let mut events = matching_answer();
        events[index] = wrong;
        assert_eq!(passed(&events), index, "{case}");
    }
}

#[test]
fn an_answer_that_is_cut_off_is_not_complete() {
    let events = matching_answer();
    for len in 0..events.len() {
        assert_eq!(passed(&events[..len]), len);
    }
}

#[test]
fn nothing_passes_after_the_end() {
    let mut events = matching_answer();
    events.push(token(REQUEST));
    let mut check = EchoCheck::new(REQUEST, adapter("a", 3));
    let last = events.iter().map(|event| check.on_event(event)).next_back().unwrap();
    assert_eq!(last.unwrap_err().kind, ErrorKind::WrongAnswer);
}

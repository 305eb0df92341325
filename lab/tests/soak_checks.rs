//! Checks of the soak: each promise is broken in a record of a few entries, and the check must tell.

use std::time::Duration;
use std::time::Instant;

use lab::soak::Disruption;
use lab::soak::DisruptionKind;
use lab::soak::LinkFault;
use lab::soak::Record;
use lab::soak::ReplicaFault;
use lab::soak::Rule;
use lab::soak::StoreFault;
use lab::soak::check;
use lab::soak::record::Answer;
use lab::soak::record::Arrival;
use lab::soak::record::Attempt;
use lab::soak::record::DeclaredVersion;
use lab::soak::record::Leaving;
use lab::soak::record::OrderArrival;
use lab::soak::record::RequestKind;
use lab::soak::record::RequestOutcome;
use lab::soak::record::Seen;
use lab::soak::record::StreamEvent;
use lab::soak::record::TakenUp;
use lab::soak::served_shares;
use tamaracklead_standin::Piece;
use tamaracklead_standin::STREAM_EVENTS;

const BORN: u64 = 1000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rules(seen: Seen, disruptions: &[Disruption]) -> Vec<Rule> {
    let violations = check(&Record::of(Instant::now(), seen), disruptions, Duration::MAX);
    violations.iter().map(|violation| violation.rule).collect()
}

fn disruption(kind: DisruptionKind, at_ms: u64, until_ms: u64) -> Disruption {
    Disruption { at: ms(at_ms), until: ms(until_ms), instances: vec![0], kind }
}

fn piece(number: u64, path: &str, adapter: &str) -> Piece {
    Piece {
        number,
        path: path.to_owned(),
        adapter: adapter.to_owned(),
        software: "v1".to_owned(),
        server: "i-1".to_owned(),
        run: 1,
    }
}

fn path_of(kind: RequestKind, request: u64) -> String {
    match kind {
        RequestKind::Safe => format!("/safe/r{request}"),
        RequestKind::Unsafe => format!("/unsafe/r{request}"),
        RequestKind::Stream => format!("/stream/r{request}"),
    }
}

fn adapter_of(kind: RequestKind) -> &'static str {
    if kind == RequestKind::Unsafe { "" } else { "a1" }
}

/// Id of an attempt, and the piece that a server answers it with.
fn answered(kind: RequestKind, request: u64) -> (String, Piece) {
    let adapter = if kind == RequestKind::Unsafe { "" } else { "a1@1" };
    (format!("q{request}-1"), piece(1, &path_of(kind, request), adapter))
}

fn event(number: u64, path: &str) -> StreamEvent {
    let piece = Some(piece(number, path, "a1@1"));
    StreamEvent { at: ms(1000 + number), id: Some(number), piece }
}

/// An attempt with a right and whole answer.
fn served(kind: RequestKind, request: u64) -> Attempt {
    let (id, piece) = answered(kind, request);
    let path = path_of(kind, request);
    let (piece, events) = match kind {
        RequestKind::Stream => (None, (1..=STREAM_EVENTS).map(|n| event(n, &path)).collect()),
        _ => (Some(piece), Vec::new()),
    };
    Attempt {
        answer: Answer {
            status: Some(200),
            is_sealed: true,
            id: Some(id.clone()),
            is_complete: true,
            piece,
            events,
        },
        id,
        request,
        kind,
        path,
        adapter: adapter_of(kind).to_owned(),
        entry: 0,
        sent: ms(900),
        ended: ms(2000),
        taken_up: None,
    }
}

/// The arrival that runs an attempt.
fn run_of(kind: RequestKind, request: u64) -> Arrival {
    let (id, piece) = answered(kind, request);
    Arrival {
        at: ms(950),
        id,
        server: "i-1".into(),
        born: BORN,
        is_desk: kind == RequestKind::Unsafe,
        path: path_of(kind, request),
        after: None,
        run: Ok(piece),
    }
}

fn seen_of(kind: RequestKind) -> Seen {
    let (attempts, arrivals) = (vec![served(kind, 1)], vec![run_of(kind, 1)]);
    Seen { attempts, arrivals, ..Seen::default() }
}

/// A stream that breaks off after `first` events and is taken up at the event after `after`.
fn taken_up(first: u64, after: u64) -> Seen {
    let mut seen = seen_of(RequestKind::Stream);
    let events = std::mem::take(&mut seen.attempts[0].answer.events);
    let mut second = seen.attempts[0].clone();
    second.id = "q1-2".to_owned();
    second.answer.id = Some(second.id.clone());
    second.answer.events = events[after as usize..].to_vec();
    second.taken_up = Some(TakenUp { after, resumes: "q1-1".to_owned() });
    seen.attempts[0].answer.events = events[..first as usize].to_vec();
    seen.attempts[0].answer.is_complete = false;
    let mut run = run_of(RequestKind::Stream, 1);
    run.id = second.id.clone();
    seen.attempts.push(second);
    seen.arrivals.push(run);
    seen
}

// Guards against checks that report what the promises allow.
#[test]
fn right_answers_break_no_rule() {
    for kind in [RequestKind::Safe, RequestKind::Unsafe, RequestKind::Stream] {
        assert_eq!(rules(seen_of(kind), &[]), []);
    }
    assert_eq!(rules(taken_up(7, 7), &[]), []);
}

// Guards against a request that isn't idempotent and runs twice unnoticed.
#[test]
fn an_unsafe_attempt_that_ran_twice_is_reported() {
    let twice = |kind| {
        let mut seen = seen_of(kind);
        let mut again = run_of(kind, 1);
        again.server = "i-2".into();
        seen.arrivals.push(again);
        rules(seen, &[])
    };
    assert_eq!(twice(RequestKind::Unsafe), [Rule::Twice]);
    assert_eq!(twice(RequestKind::Safe), []);
    assert_eq!(twice(RequestKind::Stream), []);
}

// Guards against a check that takes a server's refusal, or the caller's own retry, for a second run.
#[test]
fn a_refusal_and_a_retry_of_the_caller_are_no_second_run() {
    let mut seen = seen_of(RequestKind::Unsafe);
    let mut refused = run_of(RequestKind::Unsafe, 1);
    refused.run = Err(503);
    seen.arrivals.insert(0, refused);
    let mut retry = served(RequestKind::Unsafe, 1);
    let mut run = run_of(RequestKind::Unsafe, 1);
    retry.id = "q1-2".to_owned();
    retry.answer.id = Some(retry.id.clone());
    run.id = retry.id.clone();
    seen.attempts.push(retry);
    seen.arrivals.push(run);
    assert_eq!(rules(seen, &[]), []);
}

// Guards against a refusal that promises that nothing ran, and something ran or runs later.
#[test]
fn a_run_despite_a_promise_is_reported() {
    for status in [408, 421, 429, 503] {
        let mut seen = seen_of(RequestKind::Unsafe);
        seen.attempts[0].answer = Answer { status: Some(status), ..Answer::default() };
        assert_eq!(rules(seen.clone(), &[]), [Rule::Refused], "{status}");
        seen.arrivals[0].run = Err(503);
        assert_eq!(rules(seen, &[]), [], "{status}");
    }
    let mut seen = seen_of(RequestKind::Unsafe);
    seen.attempts[0].answer = Answer { status: Some(502), ..Answer::default() };
    assert_eq!(rules(seen, &[]), [], "502 promises nothing");
}

// Guards against a run that no caller asked for.
#[test]
fn a_run_of_an_unknown_attempt_is_reported() {
    let mut seen = seen_of(RequestKind::Safe);
    seen.attempts.clear();
    assert_eq!(rules(seen, &[]), [Rule::Unasked]);
}

// Guards against answers that belong to another request, or look right and aren't.
#[test]
fn answers_of_others_and_broken_ones_that_look_whole_are_reported() {
    let changes: [fn(&mut Answer); 6] = [
        |answer| answer.is_sealed = false,
        |answer| answer.id = Some("q2-1".to_owned()),
        |answer| answer.status = Some(500),
        |answer| answer.piece = None,
        |answer| answer.piece = Some(piece(1, "/safe/r2", "a1@1")),
        |answer| answer.piece = Some(piece(1, "/safe/r1", "a2@1")),
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut seen = seen_of(RequestKind::Safe);
        change(&mut seen.attempts[0].answer);
        assert_eq!(rules(seen, &[]), [Rule::Mixed], "change {number}");
    }
    let mut seen = seen_of(RequestKind::Stream);
    seen.attempts[0].answer.events[3].piece.as_mut().unwrap().path = "/stream/r2".to_owned();
    assert_eq!(rules(seen, &[]), [Rule::Mixed]);
}

// Guards against a check that takes a visibly broken answer, or a failure of the instance, for a lie.
#[test]
fn visibly_broken_answers_break_no_rule() {
    let mut seen = seen_of(RequestKind::Safe);
    seen.attempts[0].answer.is_complete = false;
    seen.attempts[0].answer.piece = None;
    assert_eq!(rules(seen, &[]), []);
    for status in [None, Some(502), Some(503), Some(504)] {
        let mut seen = seen_of(RequestKind::Safe);
        seen.attempts[0].answer = Answer { status, ..Answer::default() };
        assert_eq!(rules(seen, &[]), [], "{status:?}");
    }
}

// Guards against streams with gaps or repetitions, whether the instance or the caller resumed them.
#[test]
fn streams_with_missing_or_doubled_events_are_reported() {
    let with = |change: fn(&mut Vec<StreamEvent>)| {
        let mut seen = seen_of(RequestKind::Stream);
        change(&mut seen.attempts[0].answer.events);
        rules(seen, &[])
    };
    assert_eq!(with(|events| drop(events.remove(4))), [Rule::Order]);
    assert_eq!(with(|events| events.insert(4, events[4].clone())), [Rule::Order]);
    assert_eq!(with(|events| events.swap(4, 5)), [Rule::Order]);
    assert_eq!(with(|events| events[4].piece = None), [Rule::Order]);
    assert_eq!(with(|events| events[4].id = None), [Rule::Order]);
    let mut seen = taken_up(7, 7);
    seen.attempts[1].answer.events.remove(0);
    assert_eq!(rules(seen, &[]), [Rule::Order]);
}

// Guards against a stream that ends as complete before its last event.
#[test]
fn a_short_stream_that_looks_complete_is_reported() {
    let mut seen = seen_of(RequestKind::Stream);
    seen.attempts[0].answer.events.truncate(7);
    assert_eq!(rules(seen.clone(), &[]), [Rule::Order]);
    seen.attempts[0].answer.is_complete = false;
    assert_eq!(rules(seen, &[]), []);
}

// Guards against a stream that goes on at another software version.
#[test]
fn a_stream_of_two_software_versions_is_reported() {
    let mut seen = taken_up(7, 7);
    for event in &mut seen.attempts[1].answer.events {
        event.piece.as_mut().unwrap().software = "v2".to_owned();
    }
    assert_eq!(rules(seen, &[]), [Rule::Order]);
    let mut seen = taken_up(7, 7);
    for event in &mut seen.attempts[1].answer.events {
        event.piece.as_mut().unwrap().server = "i-2".to_owned();
    }
    assert_eq!(rules(seen, &[]), [], "another server of the same version");
}

// Guards against a request that is run by another service, or with another adapter.
#[test]
fn runs_at_the_wrong_place_are_reported() {
    let mut seen = seen_of(RequestKind::Safe);
    seen.arrivals[0].is_desk = true;
    assert_eq!(rules(seen, &[]), [Rule::Route]);
    let mut seen = seen_of(RequestKind::Safe);
    seen.arrivals[0].run = Ok(piece(1, "/safe/r1", "a2@1"));
    assert_eq!(rules(seen, &[]), [Rule::Route]);
    let mut seen = seen_of(RequestKind::Safe);
    seen.arrivals[0].path = "/safe/r2".to_owned();
    assert_eq!(rules(seen, &[]), [Rule::Route]);
}

// Guards against requests that begin on a version that was replaced long before.
#[test]
fn a_late_run_on_an_outdated_version_is_reported() {
    let seen = |run_ms: u64, after: Option<u64>| {
        let mut seen = seen_of(RequestKind::Safe);
        seen.arrivals[0].at = ms(run_ms);
        seen.arrivals[0].after = after;
        seen.versions.push(DeclaredVersion { at: ms(10_000), adapter: "a1".into(), version: 2 });
        seen
    };
    assert_eq!(rules(seen(15_001, None), &[]), [Rule::Version]);
    assert_eq!(rules(seen(15_000, None), &[]), [], "in time");
    assert_eq!(rules(seen(15_001, Some(3)), &[]), [], "it began before");
    let excuse = |at, until| [disruption(DisruptionKind::Store(StoreFault::Slow), at, until)];
    assert_eq!(rules(seen(15_001, None), &excuse(12_000, 12_100)), [], "the store was slow");
    assert_eq!(rules(seen(15_001, None), &excuse(5_000, 7_000)), [Rule::Version], "long before");
    let replicas = [disruption(DisruptionKind::Replicas(ReplicaFault::Slow), 12_000, 12_100)];
    assert_eq!(rules(seen(15_001, None), &replicas), [Rule::Version], "no excuse");
}

// Guards against requests that are sent to a server that has left.
#[test]
fn a_late_request_to_a_server_that_leaves_is_reported() {
    let seen = |at_ms: u64| {
        let mut seen = seen_of(RequestKind::Safe);
        seen.arrivals[0].at = ms(at_ms);
        seen.leavings.push(Leaving { at: ms(10_000), server: "i-1".into(), born: BORN });
        seen
    };
    assert_eq!(rules(seen(12_001), &[]), [Rule::Drain]);
    assert_eq!(rules(seen(12_000), &[]), [], "in time");
    let mut again = seen(12_001);
    again.arrivals[0].born = BORN + 1;
    assert_eq!(rules(again, &[]), [], "it has started again");
    let mut refused = seen(12_001);
    refused.attempts.clear();
    refused.arrivals[0].run = Err(421);
    assert_eq!(rules(refused, &[]), [], "421 doesn't count");
    let killed = [disruption(DisruptionKind::Kill, 9_000, 9_700)];
    assert_eq!(rules(seen(12_001), &killed), [], "instances weren't in touch");
    let reloaded = [disruption(DisruptionKind::Reload, 9_000, 9_700)];
    assert_eq!(rules(seen(12_001), &reloaded), [Rule::Drain], "no excuse");
}

fn order(at_ms: u64, holder: &str, fence: u64) -> OrderArrival {
    OrderArrival {
        at: ms(at_ms),
        server: "i-1".into(),
        born: BORN,
        holder: holder.into(),
        fence,
        status: 202,
        exceeds_places: false,
    }
}

// Guards against two instances that order one server's models.
#[test]
fn two_holders_of_one_server_are_reported() {
    let with = |orders: [OrderArrival; 2], disruptions: &[Disruption]| {
        rules(Seen { orders: orders.into(), ..Seen::default() }, disruptions)
    };
    let shared = || [order(1000, "one", 5), order(2000, "two", 5)];
    let lower = || [order(1000, "one", 5), order(2000, "two", 4)];
    assert_eq!(with(shared(), &[]), [Rule::One]);
    assert_eq!(with(lower(), &[]), [Rule::One]);
    assert_eq!(with([order(1000, "one", 5), order(2000, "two", 6)], &[]), []);
    assert_eq!(with([order(1000, "one", 5), order(2000, "one", 5)], &[]), []);
    let mut other = lower();
    other[1].born = BORN + 1;
    assert_eq!(with(other, &[]), [], "the server has started again");
    for kind in [DisruptionKind::Suspend, DisruptionKind::Link(LinkFault::Silence)] {
        assert_eq!(with(lower(), &[disruption(kind, 500, 1500)]), [], "{kind:?}");
        assert_eq!(with(lower(), &[disruption(kind, 5000, 6000)]), [Rule::One], "{kind:?}");
    }
    assert_eq!(with(lower(), &[disruption(DisruptionKind::Kill, 500, 1500)]), [Rule::One]);
}

// Guards against orders to load more adapters than a server holds.
#[test]
fn an_order_beyond_the_places_is_reported() {
    let mut beyond = order(1000, "one", 1);
    beyond.exceeds_places = true;
    let seen = Seen { orders: vec![order(900, "one", 1), beyond], ..Seen::default() };
    assert_eq!(rules(seen, &[]), [Rule::Limit]);
}

/// Requests every 50 ms for 20 s, of which those sent from 10 s on are served at this rate in 100.
fn outcomes(percent_after: u64) -> Seen {
    let to_outcome = |request: u64| RequestOutcome {
        request,
        kind: RequestKind::Safe,
        sent: ms(request * 50),
        ended: ms(request * 50 + 20),
        is_served: request < 200 || request % 100 < percent_after,
    };
    Seen { outcomes: (0..400).map(to_outcome).collect(), ..Seen::default() }
}

// Guards against service that doesn't come back after the last disruption.
#[test]
fn service_that_stays_away_is_reported() {
    let kill = [disruption(DisruptionKind::Kill, 6_000, 8_000)];
    assert_eq!(rules(outcomes(94), &kill), [Rule::Recover]);
    assert_eq!(rules(outcomes(95), &kill), []);
    let early = Record::of(Instant::now(), outcomes(0));
    assert!(check(&early, &kill, ms(10_500)).is_empty(), "too few requests until then");
    assert!(!check(&early, &kill, ms(11_500)).is_empty());
    let later = [disruption(DisruptionKind::Kill, 6_000, 19_500)];
    assert_eq!(rules(outcomes(0), &later), [], "no request was sent late enough");
    assert_eq!(rules(outcomes(0), &[]), [], "nothing was disrupted");
}

// Guards against figures of a return that count the wrong seconds.
#[test]
fn the_seconds_after_a_return_are_reported() {
    let kill = [disruption(DisruptionKind::Kill, 6_000, 8_000)];
    let shares = served_shares(&outcomes(50), &kill, &kill);
    let figures: Vec<(Duration, usize, usize)> =
        shares.iter().map(|share| (share.from, share.requests, share.served)).collect();
    let second = |from_ms, served| (ms(from_ms), 20, served);
    let expected = [
        (ms(2_000), 80, 80),
        second(8_000, 20),
        second(9_000, 20),
        second(10_000, 20),
        second(11_000, 20),
        second(12_000, 10),
    ];
    assert_eq!(figures, expected);
}

// Guards against a record that has lost entries and passes.
#[test]
fn an_incomplete_record_is_reported() {
    assert_eq!(rules(Seen { omitted: 1, ..Seen::default() }, &[]), [Rule::Record]);
}

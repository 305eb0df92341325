//! Callers of the soak send, retry and record as clients of the platform do.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lab::soak::Callers;
use lab::soak::Load;
use lab::soak::Record;
use lab::soak::Rule;
use lab::soak::check;
use lab::soak::record::Arrival;
use lab::soak::record::Attempt;
use lab::soak::record::RequestKind;
use lab::soak::record::Seen;
use lab::soak::record::TakenUp;
use tamaracklead_standin::Piece;
use tamaracklead_standin::ReceivedRequest;
use tamaracklead_standin::Replica;
use tamaracklead_standin::STREAM_EVENTS;
use tamaracklead_standin::encode_response;
use tamaracklead_standin::free_addr;
use tamaracklead_standin::reset_on_close;
use tamaracklead_standin::with_headers;

/// Sends requests to these instances for a while.
fn play(entries: Vec<SocketAddr>, readiness: Vec<SocketAddr>) -> Seen {
    let record = Arc::new(Record::new(Instant::now()));
    let load = Load { requests_per_s: 60.0, adapters: 3, readiness, seed: 7 };
    let callers = Callers::start(entries, load, Arc::clone(&record));
    thread::sleep(Duration::from_millis(1000));
    callers.stop();
    let seen = record.seen().clone();
    assert!(seen.outcomes.len() > 20);
    seen
}

/// Attempts of each request of a kind.
fn attempts(seen: &Seen, kind: RequestKind) -> Vec<Vec<&Attempt>> {
    let mut requests: BTreeMap<u64, Vec<&Attempt>> = BTreeMap::new();
    for attempt in seen.attempts.iter().filter(|attempt| attempt.kind == kind) {
        requests.entry(attempt.request).or_default().push(attempt);
    }
    assert!(!requests.is_empty());
    requests.into_values().collect()
}

fn path(req: &ReceivedRequest) -> &str {
    req.message.first_line.split(' ').nth(1).unwrap()
}

fn piece(req: &ReceivedRequest, number: u64) -> String {
    let model = req.message.header("x-tamaracklead-model").unwrap_or_default();
    let adapter = model.strip_prefix("base/").map_or(String::new(), |name| format!("{name}@1"));
    let piece = Piece {
        number,
        path: path(req).to_owned(),
        adapter,
        software: "v1".to_owned(),
        server: "i-1".to_owned(),
        run: 1,
    };
    piece.encode()
}

/// Sends the events from `from` to `to` of a stream, and its end if that is the last one.
fn send_events(req: &ReceivedRequest, stream: &mut TcpStream, from: u64, to: u64) -> bool {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nx-tamaracklead-attempt-id: {}\r\nx-tamaracklead-response-seal: s\r\n\
         transfer-encoding: chunked\r\n\r\n",
        req.id()
    );
    for number in from..=to {
        let event = format!("id: {number}\ndata: {}\n\n", piece(req, number));
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    if to == STREAM_EVENTS {
        text.push_str("0\r\n\r\n");
    }
    stream.write_all(text.as_bytes()).is_ok() && to == STREAM_EVENTS
}

fn answer(req: &ReceivedRequest, stream: &mut TcpStream) -> bool {
    if path(req).starts_with("/stream/") {
        return send_events(req, stream, 1, STREAM_EVENTS);
    }
    stream.write_all(&encode_response(req, 200, &piece(req, 1))).is_ok()
}

/// Rules that the answers break, where each attempt has run.
fn broken_rules(mut seen: Seen) -> Vec<Rule> {
    let first_piece = |attempt: &Attempt| match attempt.answer.events.first() {
        Some(event) => event.piece.clone().unwrap(),
        None => attempt.answer.piece.clone().unwrap(),
    };
    let to_run = |attempt: &Attempt| Arrival {
        at: attempt.sent,
        id: attempt.id.clone(),
        server: "i-1".into(),
        born: 1,
        is_desk: attempt.kind == RequestKind::Unsafe,
        path: attempt.path.clone(),
        after: attempt.taken_up.as_ref().map(|taken_up| taken_up.after),
        run: Ok(first_piece(attempt)),
    };
    seen.arrivals = seen.attempts.iter().map(to_run).collect();
    check(&Record::of(Instant::now(), seen), &[], Duration::MAX)
        .into_iter()
        .map(|found| found.rule)
        .collect()
}

// Guards against callers that open a connection for each request, and count served ones as failed.
#[test]
fn callers_keep_connections_and_take_whole_answers() {
    let replica = Replica::start("i-1", answer);
    let seen = play(vec![replica.addr], Vec::new());
    assert!(seen.outcomes.iter().all(|outcome| outcome.is_served));
    assert!(seen.attempts.iter().all(|attempt| attempt.answer.is_complete));
    assert_eq!(seen.attempts.len(), seen.outcomes.len());
    assert!(replica.received().iter().any(|req| req.earlier_on_connection > 2));
    assert_eq!(broken_rules(seen), []);
}

// Guards against callers that repeat what may have run, or don't repeat what hasn't.
#[test]
fn failures_are_retried_as_their_kind_allows() {
    for (status, unsafe_attempts) in [(502, 1), (503, 4), (421, 4), (500, 1)] {
        let replica = Replica::start("i-1", move |req, stream| {
            stream.write_all(&encode_response(req, status, "")).is_ok()
        });
        let seen = play(vec![replica.addr], Vec::new());
        assert!(seen.outcomes.iter().all(|outcome| !outcome.is_served));
        let count = |kind| attempts(&seen, kind)[0].len();
        assert_eq!(count(RequestKind::Unsafe), unsafe_attempts, "{status}");
        assert_eq!(count(RequestKind::Safe), 4, "{status}");
        assert_eq!(count(RequestKind::Stream), 4, "{status}");
        let ids = replica.received().iter().map(|req| req.id().to_owned()).collect::<Vec<_>>();
        let mut unique = ids.clone();
        unique.sort();
        unique.dedup();
        assert_eq!(unique.len(), ids.len(), "each attempt has its own id");
    }
    let replica = Replica::start("i-1", |req, stream| {
        stream.write_all(&encode_response(req, 404, "")).is_ok()
    });
    let seen = play(vec![replica.addr], Vec::new());
    assert_eq!(seen.attempts.len(), seen.outcomes.len());
}

// Guards against a reset before the answer that counts as one after which nothing may be repeated.
#[test]
fn a_closed_connection_ends_an_unsafe_request_unless_it_was_reset() {
    for (is_reset, unsafe_attempts) in [(false, 1), (true, 4)] {
        let replica = Replica::start("i-1", move |_, stream| {
            if is_reset {
                reset_on_close(stream);
            }
            false
        });
        let seen = play(vec![replica.addr], Vec::new());
        let requests = attempts(&seen, RequestKind::Unsafe);
        assert_eq!(requests[0].len(), unsafe_attempts, "reset: {is_reset}");
    }
}

// Guards against callers that take up a stream at another event or under another name.
#[test]
fn a_broken_stream_is_taken_up_after_its_last_event() {
    let replica = Replica::start("i-1", |req, stream| {
        let after = req.message.header("last-event-id").map_or(0, |id| id.parse().unwrap());
        match path(req).starts_with("/stream/") {
            true => send_events(req, stream, after + 1, (after + 7).min(STREAM_EVENTS)),
            false => answer(req, stream),
        }
    });
    let seen = play(vec![replica.addr], Vec::new());
    assert!(seen.outcomes.iter().all(|outcome| outcome.is_served));
    for attempts in attempts(&seen, RequestKind::Stream) {
        let first = attempts[0].id.clone();
        let taken_up = |after| Some(TakenUp { after, resumes: first.clone() });
        let seen: Vec<_> = attempts.iter().map(|attempt| attempt.taken_up.clone()).collect();
        assert_eq!(seen, [None, taken_up(7), taken_up(14)]);
    }
    let resumes = |req: &ReceivedRequest| req.message.header("resumes").map(str::to_owned);
    let received = replica.received();
    let resuming: Vec<_> = received.iter().filter(|req| resumes(req).is_some()).collect();
    assert!(!resuming.is_empty());
    assert!(
        resuming
            .iter()
            .all(|req| req.id().split('-').next() == resumes(req).unwrap().split('-').next())
    );
    assert_eq!(broken_rules(seen), []);
}

// Guards against callers that come back before the pause that the instance named.
#[test]
fn a_named_pause_is_kept() {
    let replica = Replica::start("i-1", |req, stream| {
        let refusal = with_headers(&encode_response(req, 503, ""), "retry-after: 0.4");
        stream.write_all(&refusal).is_ok()
    });
    let seen = play(vec![replica.addr], Vec::new());
    for attempts in attempts(&seen, RequestKind::Safe) {
        let pauses = attempts.windows(2).map(|pair| pair[1].sent - pair[0].ended);
        assert!(pauses.into_iter().all(|pause| pause >= Duration::from_millis(400)));
    }
}

// Guards against callers that go on to open connections to an instance that isn't ready.
#[test]
fn an_instance_that_is_not_ready_gets_no_new_connections() {
    let [one, two, three] = ["i-1", "i-2", "i-3"].map(|name| Replica::start(name, answer));
    let ready = Replica::start("ready", |req, stream| {
        stream.write_all(&encode_response(req, 200, "")).is_ok()
    });
    let readiness = vec![ready.addr, free_addr(), ready.addr];
    let record = Arc::new(Record::new(Instant::now()));
    let load = Load { requests_per_s: 60.0, adapters: 3, readiness, seed: 7 };
    let entries = vec![one.addr, two.addr, three.addr];
    let callers = Callers::start(entries, load, record);
    thread::sleep(Duration::from_millis(1500));
    let connections = || two.received().iter().filter(|req| req.earlier_on_connection == 0).count();
    let before = connections();
    thread::sleep(Duration::from_millis(1000));
    assert_eq!(connections(), before);
    callers.stop();
}

//! Single decisions: what ends a limit, what a counter permits first, shares.

use std::time::Duration;

use tamaracklead::decide::send_limits::LimitKnowledge;
use tamaracklead::decide::send_limits::LimitNews;
use tamaracklead::decide::send_limits::NamedLimits;
use tamaracklead::decide::send_limits::PermitAsk;
use tamaracklead::decide::send_limits::PermitId;
use tamaracklead::decide::send_limits::SendCounter;
use tamaracklead::decide::send_limits::Verdict;
use tamaracklead::names::BackendName;
use tamaracklead::names::InstanceName;
use tamaracklead::names::Timestamp;
use tamaracklead::wire::frame::encode;
use tamaracklead::wire::send_permit::PermitEnd;
use tamaracklead::wire::send_permit::PermitRequest;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn rate(rate: f64) -> NamedLimits {
    NamedLimits { rate: Some(rate), max_rejections: None }
}

fn brittle(max: u32) -> NamedLimits {
    NamedLimits { rate: None, max_rejections: Some(max) }
}

fn ask(serial: u64, limits: NamedLimits) -> PermitAsk {
    PermitAsk {
        id: PermitId { user: InstanceName::new("e1"), serial },
        limits,
        slots: 8,
        running: 0,
        expires_in: Duration::from_secs(5),
    }
}

// Guards against a limit that is dropped since an answer from before it arrived late.
#[test]
fn a_response_to_an_earlier_request_does_not_end_a_limit() {
    let mut known = LimitKnowledge::default();
    assert!(known.on_response(at(100), at(90), rate(2.0)));
    assert!(!known.on_response(at(110), at(95), NamedLimits::default()));
    assert!(known.needs_permit());
    assert!(known.on_response(at(130), at(120), NamedLimits::default()));
    assert!(!known.needs_permit());
}

// Guards against old word of other instances that brings back a limit, or ends one.
#[test]
fn only_newer_word_of_others_counts() {
    let mut known = LimitKnowledge::default();
    assert!(known.on_news(at(1000), rate(2.0), Duration::from_millis(300)));
    assert!(!known.on_news(at(1010), NamedLimits::default(), Duration::from_millis(400)));
    assert!(known.on_response(at(1100), at(1050), NamedLimits::default()));
    assert!(!known.on_news(at(1200), rate(2.0), Duration::from_millis(500)));
    assert!(!known.needs_permit());
}

// Guards against a counter that permits at once what another instance may have permitted just before.
#[test]
fn a_new_counter_permits_nothing_at_first() {
    let mut counter = SendCounter::new(1);
    assert!(matches!(counter.ask(at(0), &ask(1, rate(2.0))), Verdict::Denied(_)));
    assert_eq!(counter.ask(at(500), &ask(2, rate(2.0))), Verdict::Granted);
    assert!(matches!(counter.ask(at(510), &ask(3, rate(2.0))), Verdict::Denied(_)));
}

// Guards against a counter that goes on after a pause with what it had left.
#[test]
fn a_pause_of_the_process_takes_what_was_allowed() {
    let mut counter = SendCounter::new(1);
    assert!(matches!(counter.ask(at(0), &ask(1, rate(1.0))), Verdict::Denied(_)));
    counter.on_pause(at(9000));
    assert!(matches!(counter.ask(at(9000), &ask(2, rate(1.0))), Verdict::Denied(_)));
}

// Guards against requests that no longer run and still take room: of instances that are gone, or whose
// end was never told.
#[test]
fn room_is_free_again_when_requests_end_or_their_instances_are_gone() {
    let mut counter = SendCounter::new(1);
    for serial in 0..4 {
        assert_eq!(counter.ask(at(serial * 20), &ask(serial, brittle(4))), Verdict::Granted);
    }
    assert!(matches!(counter.ask(at(99), &ask(9, brittle(4))), Verdict::Denied(_)));
    counter.end(at(99), &ask(0, brittle(4)).id, false);
    assert_eq!(counter.ask(at(99), &ask(9, brittle(4))), Verdict::Granted);
    assert!(matches!(counter.ask(at(99), &ask(10, brittle(4))), Verdict::Denied(_)));
    assert_eq!(counter.ask(at(5100), &ask(10, brittle(4))), Verdict::Granted);
    counter.retain_users(|_| false);
    assert_eq!(counter.ask(at(5200), &ask(11, brittle(4))), Verdict::Granted);
}

// Guards against requests that are sent on to a brittle replica which has just turned some away.
#[test]
fn a_rejection_makes_room_smaller_and_half_of_the_borne_ones_close_it() {
    let mut counter = SendCounter::new(1);
    for serial in 0..2 {
        assert_eq!(counter.ask(at(0), &ask(serial, brittle(4))), Verdict::Granted);
    }
    assert!(matches!(counter.ask(at(5), &ask(2, brittle(4))), Verdict::Denied(_)), "unproven");
    assert_eq!(counter.ask(at(50), &ask(2, brittle(4))), Verdict::Granted);
    counter.end(at(60), &ask(2, brittle(4)).id, true);
    assert!(matches!(counter.ask(at(165), &ask(5, brittle(4))), Verdict::Denied(_)), "two run");
    counter.end(at(166), &ask(0, brittle(4)).id, false);
    assert_eq!(counter.ask(at(170), &ask(6, brittle(4))), Verdict::Granted);
    counter.end(at(180), &ask(6, brittle(4)).id, true);
    assert!(matches!(counter.ask(at(600), &ask(7, brittle(4))), Verdict::Denied(_)));
    assert!(matches!(counter.ask(at(1055), &ask(7, brittle(4))), Verdict::Denied(_)));
    counter.end(at(1100), &ask(1, brittle(4)).id, false);
    assert_eq!(counter.ask(at(1200), &ask(8, brittle(4))), Verdict::Granted);
}

// Guards against calls of the control interface that leave nothing to requests.
#[test]
fn control_calls_use_half_of_the_rate_at_most() {
    let mut counter = SendCounter::new(1);
    let calls = (0..200)
        .filter(|step| counter.ask_for_control(at(step * 50), rate(4.0), 4) == Verdict::Granted);
    assert!(calls.count() <= 22, "10 s at a rate of 4 a second");
}

// Guards against messages that grow: each request to a replica with a limit costs two or three.
#[test]
fn messages_of_permits_are_small() {
    let id = PermitId { user: InstanceName::new("front-cairo-west-a-117"), serial: u64::MAX };
    let replica = BackendName::new("i-6aa7265c98");
    let limits =
        LimitNews { replica, started_ms: 1_787_963_056_052, limits: rate(2.5), age_ms: 1000 };
    let replica = limits.replica.clone();
    let request =
        PermitRequest { id: id.clone(), limits, slots: 64, running: 12, expires_ms: 15_000 };
    let end = PermitEnd { replica, id, was_rejected: false };
    assert!(encode(&request).unwrap().len() < 200);
    assert!(encode(&end).unwrap().len() < 200);
}

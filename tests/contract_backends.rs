//! Contract with engines and desks: what a caller gets for each bad response of a backend server.

mod support;

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use support::daemon::Daemon;
use support::http::Call;
use support::http::HttpResponse;
use support::platform::Platform;
use support::stub_server::StubReply;

const GENERATE_ROUTE: &str = "POST /v1/generate";
const SUBMIT_ROUTE: &str = "POST /v1/submissions";

fn send_completion(daemon: &Daemon, deadline_ms: u64) -> HttpResponse {
    let body = json!({"adapter": "heats", "version": 1, "prompt": "x", "deadline_ms": deadline_ms});
    Call::post("/v1/completions", body.to_string()).send(daemon.caller)
}

fn submit(daemon: &Daemon) -> HttpResponse {
    let ticket = Call::post("/v1/tickets", "").send(daemon.caller).json();
    Call::post("/v1/submissions", "{\"swimmer\":4}")
        .header("ticket", ticket["ticket"].as_str().unwrap())
        .send(daemon.caller)
}

fn event_stream(text: &str) -> StubReply {
    StubReply::Whole(200, "text/event-stream", text.as_bytes().to_vec())
}

fn engine_refusal(reason: &str) -> StubReply {
    StubReply::json(409, &json!({"refusal": reason, "fencing": 5}))
}

#[test]
fn a_response_for_another_request_adapter_or_version_is_withheld() {
    let wrong_fields: [(&str, Value); 4] = [
        ("adapter", json!({"adapter": "lanes", "version": 1})),
        ("adapter", json!({"adapter": "heats", "version": 2})),
        ("request_id", json!("000000000000000000000000000000ff")),
        ("adapter", json!({"adapter": "heats", "version": 0})),
    ];
    for (field, value) in wrong_fields {
        let platform = Platform::start();
        let daemon = Daemon::start("entry-1", &platform, |_| {});
        platform.override_event_field(field, value.clone());
        let answer = send_completion(&daemon, 20_000);
        assert_eq!(answer.kind(), "wrong_answer", "{field} {value}");
        assert!(!answer.text().contains("hello"), "{}", answer.text());
        assert_eq!(answer.json()["not_run"], false);
        platform.reset_replies();
        assert_eq!(send_completion(&daemon, 20_000).status, 200, "after {field} {value}");
    }
}

#[test]
fn each_bad_response_of_an_engine_maps_to_its_error_kind() {
    let started = "data: {\"event\":\"started\",\"request_id\":\"00\"}\n\n";
    let cases: Vec<(&str, StubReply, &[&str])> = vec![
        ("closed", StubReply::Closed, &["backend_failed"]),
        ("status 500", StubReply::status(500), &["backend_failed"]),
        ("not events", event_stream("hello"), &["backend_failed"]),
        ("empty stream", event_stream(""), &["backend_failed"]),
        ("malformed event", event_stream("data: {\"event\":\n\n"), &["backend_failed"]),
        ("incomplete event", event_stream(started), &["backend_failed"]),
        ("unknown event", event_stream("data: {\"event\":\"more\"}\n\n"), &["backend_failed"]),
        (
            "truncated",
            StubReply::BrokenOff("text/event-stream", started.into()),
            &["backend_failed"],
        ),
        ("oversized event", event_stream(&"x".repeat(2 << 20)), &["backend_failed"]),
        ("refused", engine_refusal("full"), &["overloaded"]),
        ("old fencing number", engine_refusal("old_fencing"), &["not_owner"]),
    ];
    for (name, reply, kinds) in cases {
        let platform = Platform::start();
        let daemon = Daemon::start("entry-1", &platform, |_| {});
        platform.script(GENERATE_ROUTE, reply);
        let answer = send_completion(&daemon, 20_000);
        let kind = answer.kind();
        assert!(kinds.contains(&kind.as_str()), "{name}: {}", answer.text());
        assert!(answer.header("retry-after").is_some(), "{name}: {}", answer.head);
    }
}

#[test]
fn a_completion_on_a_slow_engine_fails_at_its_deadline() {
    let platform = Platform::start();
    let daemon = Daemon::start("entry-1", &platform, |_| {});
    platform.script_slow(GENERATE_ROUTE, Duration::from_secs(10), event_stream(""));
    let answer = send_completion(&daemon, 4000);
    assert_eq!(answer.kind(), "deadline_exceeded");
    assert_eq!(answer.json()["not_run"], false);
}

#[test]
fn a_failed_load_order_never_counts_as_a_loaded_adapter() {
    let cases = [
        ("refused", engine_refusal("load_failed")),
        ("status 500", StubReply::status(500)),
        ("malformed", StubReply::Whole(200, "application/json", b"{".to_vec())),
        ("closed", StubReply::Closed),
    ];
    for (name, reply) in cases {
        let platform = Platform::start();
        let daemon = Daemon::start("entry-1", &platform, |_| {});
        platform.script("POST /v1/orders", reply);
        let answer = send_completion(&daemon, 1000);
        assert_ne!(answer.status, 200, "{name}");
        assert_eq!(answer.json()["not_run"], true, "{name}: {}", answer.text());
        assert_eq!(platform.completions(), 0, "{name}");
    }
}

#[test]
fn a_desk_is_called_only_once_whatever_it_responds() {
    let wrong_id = json!({"submission_id": "000000000000000000000000000000ff", "receipt": "r-2"});
    let cases: Vec<(&str, StubReply)> = vec![
        ("closed", StubReply::Closed),
        ("status 500", StubReply::status(500)),
        ("malformed", StubReply::Whole(200, "application/json", b"{".to_vec())),
        ("wrong type", StubReply::json(200, &json!({"receipt": 4}))),
        ("another submission's receipt", StubReply::json(200, &wrong_id)),
        ("truncated", StubReply::BrokenOff("application/json", b"{\"rec".to_vec())),
        ("oversized", StubReply::Whole(200, "application/json", vec![b' '; 9 << 20])),
    ];
    for (name, reply) in cases {
        let platform = Platform::start();
        let daemon = Daemon::start("entry-1", &platform, |_| {});
        platform.script(SUBMIT_ROUTE, reply);
        let answer = submit(&daemon);
        assert_eq!(answer.kind(), "outcome_unknown", "{name}");
        assert_eq!(answer.json()["not_run"], false, "{name}");
        assert_eq!(platform.submissions().len(), 1, "{name}");
    }
}

#[test]
fn a_submission_to_an_unreachable_desk_is_reported_as_not_run() {
    let platform = Platform::start();
    platform.move_desk(support::daemon::free_addr());
    let daemon = Daemon::start("entry-1", &platform, |_| {});
    let answer = submit(&daemon);
    assert_eq!(answer.kind(), "no_backend");
    assert_eq!(answer.json()["not_run"], true);
    assert!(platform.submissions().is_empty());
}

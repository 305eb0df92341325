//! Contract with the configuration service and the instance list: bad data never replaces good
//! data.

mod support;

use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use support::daemon::Daemon;
use support::daemon::wait_until;
use support::http::Call;
use support::http::HttpResponse;
use support::platform::Platform;
use support::stub_server::StubReply;

const ROOT_ROUTE: &str = "GET /v1/root";
const PAGE_ROUTE: &str = "GET /v1/pages/p0";
const LIST_ROUTE: &str = "GET /v1/instances";
/// Longest wait until a change takes effect.
const EFFECT_LIMIT: Duration = Duration::from_secs(15);
/// Time within which a change that must have no effect would have had one.
const NO_EFFECT_TIME: Duration = Duration::from_millis(1500);

fn send_completion(daemon: &Daemon, adapter: &str) -> HttpResponse {
    let body = json!({"adapter": adapter, "prompt": "x"}).to_string();
    Call::post("/v1/completions", body).send(daemon.caller)
}

fn generation(daemon: &Daemon) -> Value {
    daemon.operator_get("/operator/v1/status")["generation"].clone()
}

fn adapters() -> Value {
    json!({"heats": {"model": "base", "versions": [1]}})
}

#[test]
fn a_higher_generation_takes_effect_and_a_lower_one_never_does() {
    let platform = Platform::start();
    let daemon = Daemon::start("entry-1", &platform, |_| {});
    assert_eq!(send_completion(&daemon, "relay").kind(), "unknown_adapter");
    platform.publish(5, json!({"relay": {"model": "base", "versions": [1]}}));
    wait_until(EFFECT_LIMIT, || generation(&daemon) == 5);
    assert_eq!(send_completion(&daemon, "relay").status, 200);
    platform.publish(4, adapters());
    thread::sleep(NO_EFFECT_TIME);
    assert_eq!(generation(&daemon), 5);
    assert_eq!(send_completion(&daemon, "heats").kind(), "unknown_adapter");
}

#[test]
fn a_bad_configuration_leaves_the_last_good_one_in_effect() {
    let root = |extra: Value| {
        let mut root = json!({"generation": 9, "preset": "ordinary",
                              "presets": {"ordinary": {}}, "pages": []});
        for (key, value) in extra.as_object().unwrap() {
            root[key] = value.clone();
        }
        StubReply::json(200, &root)
    };
    let whole = |body: &[u8]| StubReply::Whole(200, "application/json", body.to_vec());
    let cases: Vec<(&str, &str, StubReply)> = vec![
        ("malformed root", ROOT_ROUTE, whole(b"{")),
        ("root of wrong type", ROOT_ROUTE, root(json!({"generation": "nine"}))),
        ("root with an unknown key", ROOT_ROUTE, root(json!({"x": 1}))),
        ("preset that is not there", ROOT_ROUTE, root(json!({"preset": "night"}))),
        (
            "page that is not there",
            ROOT_ROUTE,
            root(json!({"pages": [{"name": "p9", "hash": "0"}]})),
        ),
        ("truncated root", ROOT_ROUTE, StubReply::BrokenOff("application/json", b"{".to_vec())),
        ("oversized root", ROOT_ROUTE, whole(&vec![b' '; 9 << 20])),
        ("status 500", ROOT_ROUTE, StubReply::status(500)),
        ("closed", ROOT_ROUTE, StubReply::Closed),
        ("page with another hash", PAGE_ROUTE, whole(b"{\"adapters\":{}}")),
        ("malformed page", PAGE_ROUTE, whole(b"{")),
        ("missing page", PAGE_ROUTE, StubReply::status(404)),
    ];
    let platform = Platform::start();
    let daemon = Daemon::start("entry-1", &platform, |_| {});
    for (name, route, reply) in cases {
        platform.script(route, reply);
        platform.publish(2, adapters());
        thread::sleep(NO_EFFECT_TIME);
        assert_eq!(generation(&daemon), 1, "{name}");
        assert_eq!(send_completion(&daemon, "heats").status, 200, "{name}");
        platform.publish(
            1,
            json!({
                "heats": {"model": "base", "versions": [1, 2]},
                "lanes": {"model": "base", "versions": [7]},
            }),
        );
        platform.reset_replies();
    }
    platform.publish(2, adapters());
    wait_until(EFFECT_LIMIT, || generation(&daemon) == 2);
}

#[test]
fn without_a_configuration_completions_are_refused_as_not_run() {
    let platform = Platform::start();
    platform.script(ROOT_ROUTE, StubReply::status(503));
    let daemon = Daemon::spawn("entry-1", &platform, |_| {});
    wait_until(EFFECT_LIMIT, || std::net::TcpStream::connect(daemon.caller).is_ok());
    let answer = send_completion(&daemon, "heats");
    assert_eq!(answer.kind(), "not_ready");
    assert_eq!(answer.json()["not_run"], true);
    assert!(answer.header("retry-after").is_some());
    platform.reset_replies();
    daemon.wait_ready();
    wait_until(EFFECT_LIMIT, || send_completion(&daemon, "heats").status == 200);
}

#[test]
fn a_bad_list_leaves_the_last_good_one_in_use() {
    let whole = |body: &[u8]| StubReply::Whole(200, "application/json", body.to_vec());
    let cases: Vec<(&str, StubReply)> = vec![
        ("malformed", whole(b"{")),
        ("wrong type", whole(b"{\"entries\": 4, \"backends\": []}")),
        ("host name in place of an address", whole(b"{\"entries\": [], \"backends\": [{\"name\": \"e\", \"addr\": \"host:1\", \"data_centre\": \"a\", \"state\": \"live\", \"role\": \"desk\"}]}")),
        ("truncated", StubReply::BrokenOff("application/json", b"{\"entries\"".to_vec())),
        ("oversized", whole(&vec![b' '; 9 << 20])),
        ("status 500", StubReply::status(500)),
        ("closed", StubReply::Closed),
    ];
    let platform = Platform::start();
    let daemon = Daemon::start("entry-1", &platform, |_| {});
    wait_until(EFFECT_LIMIT, || send_completion(&daemon, "heats").status == 200);
    for (name, reply) in cases {
        platform.script(LIST_ROUTE, reply);
        thread::sleep(NO_EFFECT_TIME);
        assert_eq!(send_completion(&daemon, "heats").status, 200, "{name}");
        platform.reset_replies();
    }
}

#[test]
fn a_leaving_engine_gets_no_new_work() {
    let platform = Platform::start();
    let daemon = Daemon::start("entry-1", &platform, |_| {});
    wait_until(EFFECT_LIMIT, || send_completion(&daemon, "heats").status == 200);
    platform.list_backends_as_leaving();
    wait_until(EFFECT_LIMIT, || send_completion(&daemon, "heats").kind() == "no_backend");
    let before = platform.completions();
    assert_eq!(send_completion(&daemon, "heats").json()["not_run"], true);
    assert_eq!(platform.completions(), before);
}

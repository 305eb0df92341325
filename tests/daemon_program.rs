//! The daemon binary: `--check` of its settings, keys kept out of its log, graceful shutdown.

mod support;

use std::fs;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::Duration;

use serde_json::json;
use support::daemon::CALLER_KEY;
use support::daemon::Daemon;
use support::daemon::OPERATOR_KEY;
use support::daemon::PEER_KEY;
use support::daemon::TICKET_KEY;
use support::daemon::bearer;
use support::daemon::wait_until;
use support::http::Call;
use support::platform::Platform;
use support::stub_server::StubReply;

fn completion() -> Call {
    Call::post("/v1/completions", json!({"adapter": "heats", "prompt": "x"}).to_string())
}

fn check(settings: &str) -> (Option<i32>, String) {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("daemon-check.json");
    fs::write(&file, settings).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_tamarackleadd"))
        .args(["--check".as_ref(), file.as_os_str()])
        .output()
        .unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

#[test]
fn check_names_every_fault_and_starts_nothing() {
    for name in ["nakhla.json", "pamoja.json"] {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/examples").join(name);
        let program = env!("CARGO_BIN_EXE_tamarackleadd");
        let status = Command::new(program).arg("--check").arg(file).status().unwrap();
        assert_eq!(status.code(), Some(0), "{name}");
    }
    let (code, err) = check(r#"{"instance": "a", "listen": {"caller": "host:1"}, "x": 1}"#);
    assert_eq!(code, Some(2));
    let paths = ["$.data_centre:", "$.listen.caller:", "$.listen.peer:", "$.platform:", "$.keys:"];
    for path in paths.into_iter().chain(["$.x:"]) {
        assert!(err.contains(path), "{path} in {err}");
    }
}

#[test]
fn no_key_appears_in_the_log() {
    let platform = Platform::start();
    let daemon = Daemon::start("entry-1", &platform, |settings| {
        settings["telemetry"] = json!({"log_level": "debug"});
        settings["keys"]["callers"] = json!({"app": {"value": CALLER_KEY}});
    });
    let headers = [bearer(CALLER_KEY), bearer("wrong-key-for-tests-0009"), bearer(OPERATOR_KEY)];
    for header in &headers {
        for addr in [daemon.caller, daemon.peer, daemon.operator] {
            completion().header("authorization", header).send(addr);
        }
    }
    let log = daemon.log();
    assert!(log.contains("entry-1"), "{log}");
    for key in [CALLER_KEY, OPERATOR_KEY, PEER_KEY, TICKET_KEY, "wrong-key-for-tests-0009"] {
        assert!(!log.contains(key), "{log}");
    }
}

#[test]
fn a_graceful_shutdown_finishes_what_runs_and_refuses_what_is_new() {
    let platform = Platform::start();
    let mut daemon = Daemon::start("entry-1", &platform, |_| {});
    assert_eq!(completion().send(daemon.caller).status, 200);
    let pause = Duration::from_secs(2);
    let failing_reply = StubReply::status(500);
    platform.script_slow("POST /v1/submissions", pause, failing_reply);
    let ticket = Call::post("/v1/tickets", "").send(daemon.caller).json();
    let ticket = ticket["ticket"].as_str().unwrap().to_owned();
    let submit = Call::post("/v1/submissions", "1").header("ticket", &ticket);
    let caller = daemon.caller;
    let running = thread::spawn(move || submit.send(caller));
    wait_until(Duration::from_secs(10), || platform.submissions().len() == 1);
    daemon.terminate();
    wait_until(Duration::from_secs(10), || {
        let refused = completion().send(caller);
        refused.kind() == "draining" && refused.json()["not_run"] == true
    });
    let answer = running.join().unwrap();
    assert_eq!(answer.kind(), "outcome_unknown", "{}", answer.text());
    assert_eq!(daemon.wait(), Some(0));
    assert_eq!(platform.submissions().len(), 1);
}

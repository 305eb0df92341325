//! The command-line tool against a fleet of real daemons: each command works through each
//! instance, and its exit code tells the outcome.

mod support;

use std::fs;
use std::path::Path;
use std::process::Command;

use serde_json::Value;
use serde_json::json;
use support::daemon::OPERATOR_KEY;
use support::daemon::start_pair;
use support::platform::Platform;
use tamaracklead::cli::Exit;

fn run_tool(args: &[&str], exit: Exit) -> (String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_tamaracklead")).args(args).output().unwrap();
    let out = String::from_utf8(output.stdout).unwrap();
    let err = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(exit.code().into()), "{args:?}\n{out}\n{err}");
    (out, err)
}

#[test]
fn operators_and_callers_reach_a_fleet_through_any_instance() {
    let platform = Platform::start();
    let daemons = start_pair(&platform, |_| {});
    let key = Path::new(env!("CARGO_TARGET_TMPDIR")).join("cli-fleet.key");
    fs::write(&key, OPERATOR_KEY).unwrap();
    let body = Path::new(env!("CARGO_TARGET_TMPDIR")).join("cli-fleet.json");
    fs::write(&body, json!({"swimmer": 4}).to_string()).unwrap();
    let oversized_body = Path::new(env!("CARGO_TARGET_TMPDIR")).join("cli-fleet-large.json");
    fs::write(&oversized_body, json!({"swimmers": "x".repeat(5000)}).to_string()).unwrap();
    let oversized_body = oversized_body.to_str().unwrap();
    let (key, body) = (key.to_str().unwrap(), body.to_str().unwrap());
    for daemon in &daemons {
        let operator = daemon.operator.to_string();
        let entry = daemon.caller.to_string();
        let operator_args = ["--operator", operator.as_str(), "--operator-key", key];
        let run_as_operator =
            |args: &[&str], exit| run_tool(&[args, &operator_args].concat(), exit);

        let (out, _) =
            run_tool(&["ask", "heats", "who?", "--entry", &entry, "--json"], Exit::Success);
        let done: Value = serde_json::from_str(out.lines().last().unwrap()).unwrap();
        assert_eq!((&done["adapter"], &done["version"]), (&json!("heats"), &json!(2)));
        let (out, _) = run_as_operator(&["explain", done["id"].as_str().unwrap()], Exit::Success);
        assert!(out.contains("dispatched to engine engine-1"), "{out}");
        run_tool(&["ask", "relay", "who?", "--entry", &entry], Exit::NotRun);

        let (out, _) = run_as_operator(&["status", "--json"], Exit::Success);
        let fleet: Value = serde_json::from_str(&out).unwrap();
        assert_eq!(fleet["members"].as_array().unwrap().len(), 2);
        run_as_operator(&["preset", "wait", "1", "--timeout-s", "20"], Exit::Success);
        let (out, _) =
            run_as_operator(&["preset", "wait", "2", "--timeout-s", "0"], Exit::ConditionNotMet);
        assert!(out.contains("generation 1 is in effect"), "{out}");

        let (out, err) = run_tool(&["submit", body, "--entry", &entry], Exit::Success);
        assert!(out.starts_with("receipt r-1 "), "{out}");
        let ticket = err.strip_prefix("ticket ").unwrap().trim();
        for queried in &daemons {
            let entry = queried.caller.to_string();
            let (out, _) = run_tool(&["outcome", ticket, "--entry", &entry], Exit::Success);
            assert!(out.contains("ran, receipt r-1"), "{out}");
        }
        let (_, err) =
            run_tool(&["outcome", "not-a-ticket", "--entry", &entry], Exit::OutcomeUnknown);
        assert!(err.contains("ticket is damaged or forged"), "{err}");
        let (_, err) = run_tool(&["submit", oversized_body, "--entry", &entry], Exit::NotRun);
        assert!(err.contains("body exceeds 4096 bytes"), "{err}");
    }
    assert_eq!(platform.submissions().len(), daemons.len());
}

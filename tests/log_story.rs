//! `tamaracklead explain` on relay logs, in the library and through the real program.
//!
//! A timeline must not take in lines of other requests, adapters, replicas or times.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use serde_json::json;
use tamaracklead::cli::RelayLogs;
use tamaracklead::cli::Subject;

const ENTRY_1: &str = r#"
{"at_ms":1000,"event":"started","instance":"entry-1","version":"0.1.0"}
{"at_ms":9000,"event":"config_taken","version":7,"before":4,"rev":41}
{"at_ms":10000,"event":"request_waited","id":"r1","adapter":"base/a1","targets":9,"waited_ms":310}
{"at_ms":10001,"event":"request_sent","id":"r1","route":"draft","replica":"i-1","config":7,"sends":0,"waited_ms":311,"busy":3,"unread_tokens":0}
{"at_ms":10002,"event":"request_sent","id":"r2","route":"draft","replica":"i-2","config":7,"sends":0,"waited_ms":0,"busy":0,"unread_tokens":0}
{"at_ms":10500,"event":"attempt_failed","id":"r1","replica":"i-1","reason":"no_answer","detail":"connection reset"}
{"at_ms":10500,"event":"request_ended","id":"r1","outcome":"Unknown","sends":1,"waited_ms":810}
not a line of the log
{"half a line
"#;

const ENTRY_2: &str = r#"
  9.6 entry-2 {"at_ms":9650,"event":"order_given","replica":"i-1","order":"load base/a1@1","fence":9,"expected":4,"answer":"Accepted"}
  9.7 entry-2 {"at_ms":9700,"event":"order_given","replica":"i-1","order":"load base/a11@1","fence":9,"expected":5,"answer":"Accepted"}
 10.6 entry-2 {"at_ms":10600,"event":"replica_removed","replica":"i-1","after_outage":false}
 10.6 entry-2 {"at_ms":10600,"event":"replica_removed","replica":"i-2","after_outage":false}
 99.0 entry-2 {"at_ms":99000,"event":"replica_known","replica":"i-1","state":"Ready","rev":99}
"#;

fn run_tool(args: &[&str], stdin: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tamaracklead"))
        .args(args)
        .env("COLUMNS", "160")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut pipe = child.stdin.take().unwrap();
    // The write fails if the program exits without reading its standard input.
    let _ = pipe.write_all(stdin.as_bytes());
    drop(pipe);
    child.wait_with_output().unwrap()
}

fn write_log(name: &str, text: &str) -> String {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("log-{name}"));
    fs::write(&path, text).unwrap();
    path.display().to_string()
}

// Guards against loads that are missing in a timeline, or of another adapter, as a name holds what
// separates it from its version.
#[test]
fn orders_are_found_by_the_whole_name_of_their_adapter() {
    for adapter in ["base/a1", "base/a@b", "base/a b", "base/a@b@c"] {
        let waited =
            json!({"at_ms": 9000, "event": "request_waited", "id": "r1", "adapter": adapter});
        let given = |order: String| json!({"at_ms": 9100, "event": "order_given", "order": order});
        let own = ["load", "unload"].map(|op| given(format!("{op} {adapter}")));
        let versioned = given(format!("load {adapter}@12"));
        let others =
            ["", "x", "@x", " x", "@1x"].map(|tail| given(format!("load {adapter}{tail}z@1")));
        let lines = [waited].into_iter().chain(own).chain([versioned]).chain(others);
        let text: Vec<String> = lines.map(|line| line.to_string()).collect();
        let mut relay_logs = RelayLogs::default();
        relay_logs.add_log("one", &text.join("\n"));
        let steps = relay_logs.timeline("r1");
        let found = steps.iter().filter(|step| step.about == Subject::Adapter);
        let found: Vec<&str> = found.map(|step| step.detail.as_str()).collect();
        let expected = [
            format!("order=load {adapter}"),
            format!("order=unload {adapter}"),
            format!("order=load {adapter}@12"),
        ];
        assert_eq!(found, expected);
    }
}

#[test]
fn a_timeline_joins_the_request_with_its_adapter_replicas_and_instances() {
    let mut relay_logs = RelayLogs::default();
    relay_logs.add_log("one", ENTRY_1);
    relay_logs.add_log("two", ENTRY_2);
    let actual: Vec<(u64, String, Subject, String)> = relay_logs
        .timeline("r1")
        .into_iter()
        .map(|step| (step.at_ms, step.instance, step.about, step.event))
        .collect();
    let step = |at_ms, instance: &str, about, event: &str| {
        (at_ms, instance.to_owned(), about, event.to_owned())
    };
    let expected = [
        step(9000, "entry-1", Subject::Instance, "config_taken"),
        step(9650, "entry-2", Subject::Adapter, "order_given"),
        step(10_000, "entry-1", Subject::Request, "request_waited"),
        step(10_001, "entry-1", Subject::Request, "request_sent"),
        step(10_500, "entry-1", Subject::Request, "attempt_failed"),
        step(10_500, "entry-1", Subject::Request, "request_ended"),
        step(10_600, "entry-2", Subject::Replica, "replica_removed"),
    ];
    assert_eq!(actual, expected);
    assert_eq!(relay_logs.unreadable(), 1);
}

#[test]
fn logs_are_read_from_files_and_from_standard_input() {
    let one = write_log("one", ENTRY_1);
    let run = run_tool(&["explain", "r1", "--log", &one, "--log", "-"], ENTRY_2);
    assert!(run.status.success(), "{run:?}");
    let text = String::from_utf8(run.stdout).unwrap();
    assert!(text.contains("replica_removed") && text.contains("outcome=Unknown"), "{text}");
    assert!(text.contains("1 lines aren't events"), "{text}");
    let run = run_tool(&["--json", "explain", "r1", "--log", &one], "");
    let report: serde_json::Value = serde_json::from_slice(&run.stdout).unwrap();
    assert_eq!(report["request"], "r1");
    assert_eq!(report["steps"][1]["event"], "request_waited");
}

#[test]
fn an_unknown_request_and_a_missing_log_file_are_named_in_the_error() {
    let one = write_log("other", ENTRY_1);
    let run = run_tool(&["explain", "r9", "--log", &one], "");
    assert!(!run.status.success());
    let text = String::from_utf8(run.stderr).unwrap();
    assert!(text.contains("no line of request r9"), "{text}");
    let run = run_tool(&["explain", "r1", "--log", "no-such-file"], "");
    assert!(!run.status.success());
    assert!(String::from_utf8(run.stderr).unwrap().contains("no-such-file"));
}

#[test]
fn without_logs_an_operator_listener_and_a_request_id_are_required() {
    let run = run_tool(&["explain", "r1"], "");
    assert!(String::from_utf8(run.stderr).unwrap().contains("--operator"));
    let args = ["explain", "r1", "--operator", "127.0.0.1:1", "--operator-key", "key"];
    let run = run_tool(&args, "");
    assert!(!run.status.success());
    assert!(String::from_utf8(run.stderr).unwrap().contains("invalid value 'r1'"));
}

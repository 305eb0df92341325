//! Commands of the tool that call instances, against a stub server with scripted responses.
//!
//! A command must never take a partial, failed or foreign response for success, and never
//! resend a submission where it could run twice.

mod support;

use std::fs;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;

use serde_json::Value;
use serde_json::json;
use support::stub_server::StubReply;
use support::stub_server::StubRequest;
use support::stub_server::StubServer;
use tamaracklead::cli::Exit;

const OPERATOR_KEY: &str = "operator-key-of-16-bytes";
const ID: &str = "000000000000000000000000000000ab";

struct ToolOutput {
    exit: i32,
    out: String,
    err: String,
}

impl ToolOutput {
    fn assert(&self, exit: Exit) {
        assert_eq!(self.exit, i32::from(exit.code()), "out: {}\nerr: {}", self.out, self.err);
    }
}

fn run_tool(args: &[&str]) -> ToolOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_tamaracklead"))
        .args(args)
        .env("COLUMNS", "80")
        .output()
        .unwrap();
    ToolOutput {
        exit: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("cli-calls-{name}"));
    fs::write(&path, text).unwrap();
    path
}

fn run_as_operator(server: &StubServer, name: &str, args: &[&str]) -> ToolOutput {
    let key = write_file(&format!("{name}.key"), &format!("{OPERATOR_KEY}\n"));
    let addr = server.addr.to_string();
    let access = ["--operator", &addr, "--operator-key", key.to_str().unwrap()];
    run_tool(&[args, &access].concat())
}

/// An address with a port that nothing listens on.
fn closed_addr() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

fn instance_status(instance: &str, generation: u64, engines: &Value) -> Value {
    json!({
        "instance": instance, "data_centre": "cairo-a", "incarnation": 5,
        "generation": generation, "preset": "ordinary", "draining": false,
        "live_peers": [], "engines": engines,
    })
}

fn fleet_status() -> Value {
    let engines = json!([{
        "engine": "engine-1", "slots": 4, "batch": 8, "running": 3, "waiting": 12,
        "loaded": [{"adapter": "heats", "version": 2}, {"adapter": "lanes", "version": 7}],
    }]);
    json!({"members": [
        {"instance": "entry-1", "leaving": false, "error": null, "status": instance_status("entry-1", 12, &engines)},
        {"instance": "entry-2", "leaving": true, "error": null, "status": instance_status("entry-2", 11, &json!([]))},
        {"instance": "entry-3", "leaving": false, "status": null, "error": "no connection to 127.0.0.1:9"},
    ]})
}

fn fleet_server(fleet: Value) -> StubServer {
    StubServer::start(move |req| {
        assert_eq!(req.header("authorization"), Some(&*format!("Bearer {OPERATOR_KEY}")));
        assert_eq!((req.method.as_str(), req.path.as_str()), ("GET", "/operator/v1/fleet"));
        StubReply::json(200, &fleet)
    })
}

#[test]
fn status_tables_fit_the_terminal_width() {
    let server = fleet_server(fleet_status());
    let run = run_as_operator(&server, "status", &["status"]);
    run.assert(Exit::Success);
    insta::assert_snapshot!("status", run.out);
    let run = run_as_operator(&server, "status", &["status", "--json"]);
    assert_eq!(serde_json::from_str::<Value>(&run.out).unwrap(), fleet_status());
}

#[test]
fn preset_wait_lists_the_instances_that_are_behind() {
    let server = fleet_server(fleet_status());
    let run = run_as_operator(&server, "behind", &["preset", "wait", "12", "--timeout-s", "0"]);
    run.assert(Exit::ConditionNotMet);
    insta::assert_snapshot!("preset_wait_behind", run.out);
    let run =
        run_as_operator(&server, "behind", &["preset", "wait", "12", "--timeout-s", "0", "--json"]);
    let report: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(report["in_effect"], json!(["entry-1"]));
    assert_eq!(report["behind"][0]["generation"], 11);
}

#[test]
fn preset_wait_ends_when_every_instance_has_the_generation() {
    let mut complete = fleet_status();
    complete["members"][1]["status"]["generation"] = json!(13);
    complete["members"][2]["leaving"] = json!(true);
    let server = fleet_server(complete);
    let run = run_as_operator(&server, "complete", &["preset", "wait", "12"]);
    run.assert(Exit::Success);
    assert_eq!(run.out, "generation 12 is in effect at all 2 instances\n");
}

#[test]
fn explain_lists_every_decision() {
    let server = StubServer::start(|req| {
        assert_eq!(req.path, format!("/operator/v1/requests/{ID}"));
        StubReply::json(
            200,
            &json!({"request_id": ID, "from_entry": true, "steps": [
                {"instance": "entry-1", "at_ms": 0, "text": "resolved to heats@2 of generation 12"},
                {"instance": "entry-2", "at_ms": 3, "text": "dispatched to engine engine-1"},
            ]}),
        )
    });
    let run = run_as_operator(&server, "explain", &["explain", ID]);
    run.assert(Exit::Success);
    insta::assert_snapshot!("explain", run.out);
}

#[test]
fn failover_tries_the_next_address_and_ends_as_unreachable() {
    let server = fleet_server(fleet_status());
    let closed_port = closed_addr();
    let run = run_as_operator(&server, "next", &["status", "--operator", &closed_port]);
    run.assert(Exit::Success);
    let key = write_file("unreachable.key", OPERATOR_KEY);
    let run =
        run_tool(&["status", "--operator", &closed_port, "--operator-key", key.to_str().unwrap()]);
    run.assert(Exit::Unreachable);
    assert!(run.err.contains(&closed_port), "{}", run.err);
}

#[test]
fn an_error_response_is_shown_without_the_key() {
    let server = StubServer::start(|_| {
        StubReply::json(
            401,
            &json!({"title": "not authenticated", "status": 401, "kind": "unauthenticated",
                "detail": "operator key is wrong", "not_run": true}),
        )
    });
    let run = run_as_operator(&server, "refused", &["status"]);
    run.assert(Exit::NotRun);
    assert_eq!(run.err, "tamaracklead: not authenticated: operator key is wrong\n");
    let run = run_as_operator(&server, "refused", &["status", "--json"]);
    let problem: Value = serde_json::from_str(&run.err).unwrap();
    assert_eq!(problem["kind"], "unauthenticated");
    assert!(!run.err.contains(OPERATOR_KEY));
}

fn completion_events(version: u64, done: bool) -> Vec<u8> {
    let mut text = format!("data: {{\"id\":\"{ID}\",\"text\":\"one \"}}\n\n");
    text.push_str(&format!("data: {{\"id\":\"{ID}\",\"text\":\"two\"}}\n\n"));
    if done {
        text.push_str(&format!(
            "event: done\ndata: {{\"id\":\"{ID}\",\"adapter\":\"heats\",\"version\":{version},\
             \"text\":\"\",\"tokens\":2}}\n\n"
        ));
    }
    text.into_bytes()
}

fn run_ask(reply: StubReply, args: &[&str]) -> ToolOutput {
    let server = StubServer::start(move |req| {
        let body: Value = serde_json::from_slice(&req.body).unwrap();
        assert_eq!(body["stream"], true);
        assert_eq!(body["adapter"], "heats");
        reply.clone()
    });
    let addr = server.addr.to_string();
    run_tool(&[&["ask", "heats", "who swims?", "--entry", &addr], args].concat())
}

#[test]
fn ask_streams_a_completion_to_its_end() {
    let whole = StubReply::Whole(200, "text/event-stream", completion_events(2, true));
    let run = run_ask(whole.clone(), &["--adapter-version", "2"]);
    run.assert(Exit::Success);
    assert_eq!(run.out, "one two\n");
    let run = run_ask(whole, &["--json"]);
    assert_eq!(run.out.lines().count(), 3, "{}", run.out);
}

#[test]
fn ask_fails_on_a_truncated_stream_and_on_another_version() {
    let error = format!(
        "event: error\ndata: {}\n\n",
        json!({"title": "backend server failed", "status": 502, "kind": "backend_failed",
            "detail": "engine lost", "not_run": false, "retry_after_s": 3})
    );
    let stream = |body| StubReply::Whole(200, "text/event-stream", body);
    let cases = [
        ("without an end", stream(completion_events(2, false)), Exit::Failed),
        (
            "broken off",
            StubReply::BrokenOff("text/event-stream", completion_events(2, false)),
            Exit::Failed,
        ),
        ("another version", stream(completion_events(3, true)), Exit::Failed),
        ("error event", stream(error.into_bytes()), Exit::Failed),
        ("no answer", StubReply::Closed, Exit::Unreachable),
    ];
    for (name, reply, exit) in cases {
        let run = run_ask(reply, &["--adapter-version", "2"]);
        assert_eq!(run.exit, i32::from(exit.code()), "{name}: {}", run.err);
        assert!(!run.err.is_empty(), "{name}");
    }
}

type SeenTickets = Arc<Mutex<Vec<String>>>;

/// Issues the tickets t1, t2, ... and sends `replies` to submissions in turn, the last one
/// repeatedly.
fn submission_server(replies: Vec<StubReply>) -> (StubServer, SeenTickets) {
    let seen_tickets = SeenTickets::default();
    let seen = Arc::clone(&seen_tickets);
    let tickets = Mutex::new(0);
    let server = StubServer::start(move |req: &StubRequest| {
        if req.path == "/v1/tickets" {
            let mut tickets = tickets.lock().unwrap();
            *tickets += 1;
            return StubReply::json(
                200,
                &json!({"id": ID, "ticket": format!("t{tickets}"), "expires_in_s": 120}),
            );
        }
        let mut seen = seen.lock().unwrap();
        seen.push(req.header("ticket").unwrap().to_owned());
        replies[(seen.len() - 1).min(replies.len() - 1)].clone()
    });
    (server, seen_tickets)
}

fn problem_reply(status: u16, kind: &str, not_run: bool, retry: Option<u64>) -> StubReply {
    let mut body =
        json!({"title": kind, "status": status, "kind": kind, "detail": "x", "not_run": not_run});
    if let Some(seconds) = retry {
        body["retry_after_s"] = json!(seconds);
    }
    StubReply::json(status, &body)
}

#[test]
fn submit_resends_only_where_that_can_not_run_the_submission_twice() {
    let receipt = || StubReply::json(200, &json!({"id": ID, "receipt": "r-1"}));
    let busy = || problem_reply(503, "overloaded", true, Some(0));
    let unknown = || problem_reply(504, "outcome_unknown", false, Some(0));
    let cases: [(&str, Vec<StubReply>, Vec<&str>, Exit); 7] = [
        ("receipt", vec![receipt()], vec!["t1"], Exit::Success),
        ("lost", vec![StubReply::Closed, receipt()], vec!["t1", "t1"], Exit::Success),
        ("not run", vec![busy(), receipt()], vec!["t1", "t2"], Exit::Success),
        (
            "not run after lost",
            vec![StubReply::Closed, busy(), receipt()],
            vec!["t1", "t1", "t1"],
            Exit::Success,
        ),
        ("unknown", vec![unknown()], vec!["t1", "t1", "t1"], Exit::OutcomeUnknown),
        ("refused", vec![problem_reply(413, "too_large", true, None)], vec!["t1"], Exit::NotRun),
        (
            "half a receipt",
            vec![StubReply::BrokenOff("application/json", b"{".to_vec()), receipt()],
            vec!["t1", "t1"],
            Exit::Success,
        ),
    ];
    let body = write_file("submission.json", "{\"swimmer\": 4}");
    for (name, replies, tickets, exit) in cases {
        let (server, seen_tickets) = submission_server(replies);
        let addr = server.addr.to_string();
        let body = body.to_str().unwrap();
        let run = run_tool(&["submit", body, "--entry", &addr, "--attempts", "3"]);
        assert_eq!(run.exit, i32::from(exit.code()), "{name}: {} {}", run.out, run.err);
        assert_eq!(*seen_tickets.lock().unwrap(), tickets, "{name}");
        assert!(run.err.starts_with("ticket t1\n"), "{name}: {}", run.err);
        if exit == Exit::Success {
            assert_eq!(run.out, format!("receipt r-1 (submission {ID})\n"), "{name}");
        }
    }
}

#[test]
fn submit_refuses_a_body_that_is_not_json() {
    let body = write_file("bad.json", "{");
    let run = run_tool(&["submit", body.to_str().unwrap(), "--entry", "127.0.0.1:1"]);
    run.assert(Exit::Usage);
}

#[test]
fn outcome_maps_each_state_to_its_exit_code() {
    let cases = [
        (json!({"id": ID, "state": "done", "receipt": "r-1"}), Exit::Success),
        (json!({"id": ID, "state": "running"}), Exit::ConditionNotMet),
        (json!({"id": ID, "state": "unused"}), Exit::NotRun),
        (json!({"id": ID, "state": "not_run"}), Exit::NotRun),
        (json!({"id": ID, "state": "unknown"}), Exit::OutcomeUnknown),
    ];
    let mut shown = String::new();
    for (state, exit) in cases {
        let server = StubServer::start(move |req| {
            assert_eq!((req.method.as_str(), req.header("ticket")), ("GET", Some("t1")));
            StubReply::json(200, &state)
        });
        let run = run_tool(&["outcome", "t1", "--entry", &server.addr.to_string()]);
        run.assert(exit);
        shown.push_str(&run.out);
    }
    insta::assert_snapshot!("outcome", shown);
}

#[test]
fn a_completion_script_exists_for_each_shell() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let run = run_tool(&["completions", shell]);
        run.assert(Exit::Success);
        assert!(run.out.contains("outcome"), "{shell}");
    }
}

#[test]
fn preset_diff_counts_the_adapters_loaded_in_the_fleet() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("cli-calls-config");
    fs::create_dir_all(dir.join("pages")).unwrap();
    let page = json!({"adapters": {
        "heats": {"model": "base", "versions": [2]},
        "lanes": {"model": "base", "versions": [7]},
        "relay": {"model": "base", "versions": [1]},
    }});
    let presets = json!({"ordinary": {}, "gala": {"pinned": ["heats", "lanes", "relay"]}});
    let root = json!({"generation": 1, "preset": "ordinary", "presets": presets,
                      "pages": [{"name": "p0", "hash": "-"}]});
    fs::write(dir.join("root.json"), root.to_string()).unwrap();
    fs::write(dir.join("pages/p0.json"), page.to_string()).unwrap();
    let mut full = fleet_status();
    full["members"][0]["status"]["engines"][0]["slots"] = json!(2);
    let server = fleet_server(full);
    let args = ["preset", "diff", dir.to_str().unwrap(), "ordinary", "gala"];
    let run = run_as_operator(&server, "diff", &args);
    run.assert(Exit::Success);
    insta::assert_snapshot!("preset_diff_fleet", run.out);
}

//! Traces and metrics of real daemons.
//!
//! The spans of one request must form one tree across processes; a hop that loses the trace
//! context, or a span that isn't exported, breaks it.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use support::collector::CollectedSpan;
use support::collector::Collector;
use support::daemon::Daemon;
use support::daemon::start_pair;
use support::http::Call;
use support::platform::Platform;
use tamaracklead::telemetry::Hop;

const EXPORT_LIMIT: Duration = Duration::from_secs(20);

fn traceparent(number: u8) -> String {
    format!("00-{number:032x}-00000000000000ff-01")
}

/// Spans of the trace with this number.
fn spans_of_trace(spans: &[CollectedSpan], number: u8) -> Vec<CollectedSpan> {
    let mut id = [0; 16];
    id[15] = number;
    spans.iter().filter(|span| span.trace_id == id).cloned().collect()
}

/// Span names from the root to each span; fails if a parent is missing.
fn paths_from_root(spans: &[CollectedSpan]) -> BTreeSet<String> {
    let by_id: BTreeMap<_, _> = spans.iter().map(|span| (span.span_id.clone(), span)).collect();
    let mut paths = BTreeSet::new();
    for span in spans {
        let mut path = vec![format!("{}@{}", span.name, span.instance)];
        let mut at = span;
        while let Some(parent) = by_id.get(&at.parent_id) {
            path.push(format!("{}@{}", parent.name, parent.instance));
            at = parent;
        }
        assert_eq!(at.parent_id, [0, 0, 0, 0, 0, 0, 0, 0xff], "{} has no parent", at.name);
        path.reverse();
        paths.insert(path.join(" > "));
    }
    paths
}

fn send(daemon: &Daemon, call: Call, number: u8) {
    let answer = call.header("traceparent", &traceparent(number)).send(daemon.caller);
    assert_eq!(answer.status, 200, "{}", answer.text());
}

#[test]
fn the_spans_of_a_request_form_one_tree_across_processes() {
    let platform = Platform::start();
    let collector = Collector::start();
    let daemons = start_pair(&platform, |settings| {
        settings["telemetry"] = json!({"otlp": collector.addr});
    });
    let completion = json!({"adapter": "heats", "prompt": "x"}).to_string();
    send(&daemons[0], Call::post("/v1/completions", completion.clone()), 1);
    send(&daemons[1], Call::post("/v1/completions", completion), 2);
    let ticket = Call::post("/v1/tickets", "").send(daemons[0].caller).json();
    let ticket = ticket["ticket"].as_str().unwrap();
    send(&daemons[1], Call::post("/v1/submissions", "1").header("ticket", ticket), 3);

    let is_complete = |spans: &[CollectedSpan]| {
        let sizes = [1, 2, 3].map(|number| spans_of_trace(spans, number).len());
        sizes[0] + sizes[1] >= 7 && sizes[2] >= 4
    };
    let spans = collector.wait_for(EXPORT_LIMIT, is_complete);
    let [first, second] = [1, 2].map(|number| paths_from_root(&spans_of_trace(&spans, number)));
    let (at_owner, forwarded) =
        if first.len() < second.len() { (first, second) } else { (second, first) };
    // One of the two entry instances owns the engine; its own request needs no dispatch call.
    let longest = |paths: &BTreeSet<String>| {
        paths
            .iter()
            .max_by_key(|path| path.len())
            .unwrap()
            .replace("@entry-1", "")
            .replace("@entry-2", "")
    };
    let path_of = |hops: &[Hop]| hops.iter().map(|hop| hop.name()).collect::<Vec<_>>().join(" > ");
    assert_eq!(
        longest(&at_owner),
        path_of(&[Hop::EntryCompletion, Hop::OwnerCompletion, Hop::EngineCall])
    );
    let hops = [Hop::EntryCompletion, Hop::DispatchCall, Hop::OwnerCompletion, Hop::EngineCall];
    assert_eq!(longest(&forwarded), path_of(&hops));
    let submission = paths_from_root(&spans_of_trace(&spans, 3));
    let expected = "entry submission@entry-2 > forward call@entry-2 > \
                    issuer submission@entry-1 > desk call@entry-1";
    assert!(submission.contains(expected), "{submission:#?}");
}

#[test]
fn a_daemon_sends_each_counter_increase_once() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(EXPORT_LIMIT)).unwrap();
    let statsd = socket.local_addr().unwrap();
    let platform = Platform::start();
    let daemon = Daemon::start("entry-1", &platform, |settings| {
        settings["telemetry"] = json!({"statsd": statsd});
    });
    let completion = |adapter| {
        let body = json!({"adapter": adapter, "prompt": "x"}).to_string();
        Call::post("/v1/completions", body).send(daemon.caller)
    };
    assert_eq!(completion("heats").status, 200);
    assert_eq!(completion("heats").status, 200);
    assert_eq!(completion("relay").status, 404);
    let expected = [
        "requests.completion:3|c",
        "answers.completion:2|c",
        "answers.not_run:1|c",
        "load_stalls:1|c",
        "loads.started:1|c",
        "leases.gained:1|c",
        "config.applied:1|c",
        "generation:1|g",
    ];
    let mut sums: BTreeMap<String, u64> = BTreeMap::new();
    let mut buf = [0; 4096];
    let parse_metric = |text: &str| {
        let text = text.strip_prefix("tamaracklead.entry-1.")?;
        let (name, rest) = text.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        Some((name.to_owned(), value.parse::<u64>().ok()?, kind.to_owned()))
    };
    let has_all_expected = |sums: &BTreeMap<String, u64>| {
        expected.iter().all(|wanted| {
            let (name, rest) = wanted.split_once(':').unwrap();
            sums.get(name).is_some_and(|sum| rest.starts_with(&format!("{sum}|")))
        })
    };
    let give_up_at = Instant::now() + EXPORT_LIMIT;
    while !has_all_expected(&sums) {
        assert!(Instant::now() < give_up_at, "{sums:?}");
        let len = socket.recv(&mut buf).expect("metrics stopped before all expected ones arrived");
        for (name, value, kind) in
            String::from_utf8_lossy(&buf[..len]).lines().filter_map(parse_metric)
        {
            if kind == "c" {
                *sums.entry(name).or_default() += value;
            } else {
                sums.insert(name, value);
            }
        }
        assert!(sums.get("requests.completion").is_none_or(|sum| *sum <= 3), "{sums:?}");
    }
}

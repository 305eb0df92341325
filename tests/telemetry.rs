//! Metrics arrive at the StatsD address, and the spans of several instances form one trace.

mod support;

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::path::Path;
use std::time::Duration;

use serde_json::json;
use support::collector::Collector;
use tamaracklead::error::Error;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::InstanceName;
use tamaracklead::settings::Settings;
use tamaracklead::telemetry::Counter;
use tamaracklead::telemetry::Gauge;
use tamaracklead::telemetry::Hop;
use tamaracklead::telemetry::Metrics;
use tamaracklead::telemetry::Timing;
use tamaracklead::telemetry::Tracer;
use tokio::runtime::Runtime;

const CALLER_TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const EXPORT_LIMIT: Duration = Duration::from_secs(10);

fn receive_metrics(socket: &UdpSocket) -> BTreeSet<String> {
    let mut buf = [0; 2048];
    let len = socket.recv(&mut buf).unwrap();
    String::from_utf8_lossy(&buf[..len]).lines().map(str::to_owned).collect()
}

fn statsd_socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(EXPORT_LIMIT)).unwrap();
    socket
}

fn start_tracer(name: &str, collector: &Collector, runtime: &Runtime) -> Tracer {
    let settings = json!({
        "instance": name,
        "data_centre": "cairo-a",
        "listen": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:0"},
        "platform": {"configuration": "127.0.0.1:1", "instances": "127.0.0.1:1"},
        "keys": {"peers": {"value": "k".repeat(16)}, "tickets": {"value": "k".repeat(16)}},
        "telemetry": {"otlp": collector.addr},
    });
    let settings = Settings::parse(&settings.to_string(), Path::new(".")).unwrap();
    Tracer::start(&settings, runtime.handle().clone()).unwrap()
}

#[test]
fn a_report_sends_only_the_increase_since_the_last_one() {
    let socket = statsd_socket();
    let addr = socket.local_addr().unwrap();
    let metrics = Metrics::start(&InstanceName::new("cairo.a-1"), Some(addr)).unwrap();
    for _ in 0..3 {
        metrics.count(Counter::LoadStalled);
    }
    metrics.count(Counter::Retried);
    metrics.record_duration(Timing::LoadStall, Duration::from_millis(250));
    metrics.send_report(&[(Gauge::BatchFillPercent, 75)]);
    let expected = [
        "tamaracklead.cairo_a-1.load_stalls:3|c",
        "tamaracklead.cairo_a-1.retries:1|c",
        "tamaracklead.cairo_a-1.load_stall_time:250|ms",
        "tamaracklead.cairo_a-1.batch_fill_percent:75|g",
    ];
    assert_eq!(receive_metrics(&socket), expected.map(str::to_owned).into());
    metrics.count(Counter::Retried);
    metrics.send_report(&[]);
    assert_eq!(receive_metrics(&socket), ["tamaracklead.cairo_a-1.retries:1|c".to_owned()].into());
    assert_eq!(metrics.total(Counter::Retried), 2);
}

#[test]
fn metric_names_are_distinct_and_each_counter_has_its_own_sum() {
    let mut names = BTreeSet::new();
    names.extend(Counter::ALL.map(Counter::name));
    names.extend(Timing::ALL.map(Timing::name));
    names.extend(Gauge::ALL.map(Gauge::name));
    assert_eq!(names.len(), Counter::ALL.len() + Timing::ALL.len() + Gauge::ALL.len());
    let metrics = Metrics::in_memory();
    for (i, counter) in Counter::ALL.into_iter().enumerate() {
        assert_eq!(counter as usize, i);
        metrics.count(counter);
        assert_eq!(metrics.total(counter), 1);
    }
}

#[test]
fn spans_of_two_instances_form_one_tree() {
    let collector = Collector::start();
    let runtime = Runtime::new().unwrap();
    let entry = start_tracer("entry-1", &collector, &runtime);
    let owner = start_tracer("entry-2", &collector, &runtime);
    {
        let completion = entry.start_span(Hop::EntryCompletion, Some(CALLER_TRACEPARENT));
        let call = entry.start_span(Hop::DispatchCall, completion.traceparent().as_deref());
        let at_owner = owner.start_span(Hop::OwnerCompletion, call.traceparent().as_deref());
        let engine = owner.start_span(Hop::EngineCall, at_owner.traceparent().as_deref());
        engine.set_attribute("engine", "engine-1");
        engine.set_error(&Error::new(ErrorKind::BackendFailed, "the answer broke off"));
    }
    entry.shutdown();
    owner.shutdown();
    let spans = collector.wait_for(EXPORT_LIMIT, |spans| spans.len() == 4);
    let find = |hop: Hop| spans.iter().find(|span| span.name == hop.name()).unwrap();
    let chain =
        [Hop::EntryCompletion, Hop::DispatchCall, Hop::OwnerCompletion, Hop::EngineCall].map(find);
    for pair in chain.windows(2) {
        assert_eq!(pair[1].parent_id, pair[0].span_id, "{} below {}", pair[1].name, pair[0].name);
        assert_eq!(pair[1].trace_id, pair[0].trace_id);
    }
    assert_eq!(
        chain.map(|span| span.instance.as_str()),
        ["entry-1", "entry-1", "entry-2", "entry-2"]
    );
    assert_eq!(chain.map(|span| span.failed), [false, false, false, true]);
    let root = &chain[0];
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    assert_eq!(
        CALLER_TRACEPARENT,
        format!("00-{}-{}-01", hex(&root.trace_id), hex(&root.parent_id))
    );
}

#[test]
fn without_a_collector_the_trace_context_is_propagated() {
    let tracer = Tracer::disabled();
    let span = tracer.start_span(Hop::EntryCompletion, Some(CALLER_TRACEPARENT));
    assert_eq!(span.traceparent().as_deref(), Some(CALLER_TRACEPARENT));
    assert_eq!(tracer.start_span(Hop::EntryCompletion, None).traceparent(), None);
}

#[test]
fn a_malformed_traceparent_starts_a_new_trace() {
    let collector = Collector::start();
    let runtime = Runtime::new().unwrap();
    let tracer = start_tracer("entry-1", &collector, &runtime);
    for parent in ["", "00-zz-zz-01", "00-0af7651916cd43dd8448eb211c80319c", "é"] {
        let span = tracer.start_span(Hop::EntryCompletion, Some(parent));
        let traceparent_out = span.traceparent().unwrap();
        assert!(
            traceparent_out.starts_with("00-") && traceparent_out.len() == CALLER_TRACEPARENT.len(),
            "{traceparent_out}"
        );
    }
    tracer.shutdown();
}

//! Stub trace collector: takes OTLP over HTTP and keeps the spans in memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use prost::Message;

use super::stub_server::StubReply;
use super::stub_server::StubServer;

/// One received span; `instance` is its resource's `service.instance.id`.
#[derive(Clone, Debug)]
pub struct CollectedSpan {
    pub instance: String,
    pub name: String,
    pub trace_id: Vec<u8>,
    pub span_id: Vec<u8>,
    pub parent_id: Vec<u8>,
    pub failed: bool,
}

/// A trace collector on a free port.
pub struct Collector {
    pub addr: SocketAddr,
    spans: Arc<Mutex<Vec<CollectedSpan>>>,
}

impl Collector {
    pub fn start() -> Self {
        let spans = Arc::new(Mutex::new(Vec::new()));
        let collected = Arc::clone(&spans);
        let server = StubServer::start(move |req| {
            let export = ExportTraceServiceRequest::decode(req.body.as_slice()).unwrap();
            collected.lock().unwrap().extend(spans_of(export));
            StubReply::status(200)
        });
        Self { addr: server.addr, spans }
    }

    /// Waits until `ready` accepts the spans, or for `limit`; returns the spans in either case.
    pub fn wait_for(
        &self,
        limit: Duration,
        ready: impl Fn(&[CollectedSpan]) -> bool,
    ) -> Vec<CollectedSpan> {
        let until = Instant::now() + limit;
        loop {
            let spans = self.spans.lock().unwrap().clone();
            if ready(&spans) || Instant::now() >= until {
                return spans;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn spans_of(export: ExportTraceServiceRequest) -> Vec<CollectedSpan> {
    let mut spans = Vec::new();
    for group in export.resource_spans {
        let attributes = group.resource.map(|resource| resource.attributes).unwrap_or_default();
        let instance = attributes.iter().find(|kv| kv.key == "service.instance.id");
        let instance = format!("{:?}", instance.and_then(|kv| kv.value.clone()));
        let instance = instance.split('"').nth(1).unwrap_or_default().to_owned();
        for span in group.scope_spans.into_iter().flat_map(|scope| scope.spans) {
            spans.push(CollectedSpan {
                instance: instance.clone(),
                name: span.name,
                trace_id: span.trace_id,
                span_id: span.span_id,
                parent_id: span.parent_span_id,
                failed: span.status.is_some_and(|status| status.code == 2),
            });
        }
    }
    spans
}

//! Span of one hop, with propagation of the trace context (W3C `traceparent`).

use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry::propagation::Extractor;
use opentelemetry::propagation::Injector;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::Status;
use opentelemetry::trace::TraceContextExt;
use opentelemetry_sdk::propagation::TraceContextPropagator;

use crate::error::Error;

const TRACEPARENT_HEADER: &str = "traceparent";

/// Span of one hop; dropping it ends it.
#[derive(Debug)]
pub struct Span {
    recorded: Option<Context>,
    parent: Option<String>,
}

impl Span {
    /// A span that isn't recorded; calls get the parent's context unchanged.
    pub(super) fn unrecorded(parent: Option<&str>) -> Self {
        Self { recorded: None, parent: parent.map(str::to_owned) }
    }

    /// The span of this context, which is recorded if it is sampled.
    pub(super) fn recorded(cx: Context) -> Self {
        Self { recorded: Some(cx), parent: None }
    }

    /// Value of the `traceparent` header for calls that this hop makes.
    pub fn traceparent(&self) -> Option<String> {
        let Some(cx) = &self.recorded else { return self.parent.clone() };
        let mut carrier = TraceparentCarrier(None);
        TraceContextPropagator::new().inject_context(cx, &mut carrier);
        carrier.0
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<String>) {
        if let Some(cx) = &self.recorded {
            cx.span().set_attribute(KeyValue::new(key, value.into()));
        }
    }

    /// Sets the span's status to this error.
    pub fn set_error(&self, error: &Error) {
        if let Some(cx) = &self.recorded {
            cx.span().set_status(Status::error(error.to_string()));
        }
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        if let Some(cx) = &self.recorded {
            cx.span().end();
        }
    }
}

/// The context of a `traceparent` header; an empty one if the header is missing or malformed.
pub(super) fn parent_context(traceparent: Option<&str>) -> Context {
    let carrier = TraceparentCarrier(traceparent.map(str::to_owned));
    TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier)
}

struct TraceparentCarrier(Option<String>);

impl Extractor for TraceparentCarrier {
    fn get(&self, key: &str) -> Option<&str> {
        if key == TRACEPARENT_HEADER { self.0.as_deref() } else { None }
    }

    fn keys(&self) -> Vec<&str> {
        vec![TRACEPARENT_HEADER]
    }
}

impl Injector for TraceparentCarrier {
    fn set(&mut self, key: &str, value: String) {
        if key == TRACEPARENT_HEADER {
            self.0 = Some(value);
        }
    }
}

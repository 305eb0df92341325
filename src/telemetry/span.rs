//! One hop of a request, as traces show it.

use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry::propagation::Extractor;
use opentelemetry::propagation::Injector;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::Status;
use opentelemetry::trace::TraceContextExt;
use opentelemetry_sdk::propagation::TraceContextPropagator;

use crate::error::Error;

const TRACEPARENT: &str = "traceparent";

/// One hop of a request; it ends when it is dropped.
#[derive(Debug)]
pub struct Span {
    recorded: Option<Context>,
    parent: Option<String>,
}

impl Span {
    /// A span that is not recorded and passes its parent on.
    pub(super) fn unrecorded(parent: Option<&str>) -> Self {
        Self { recorded: None, parent: parent.map(str::to_owned) }
    }

    /// A span that is recorded.
    pub(super) fn recorded(cx: Context) -> Self {
        Self { recorded: Some(cx), parent: None }
    }

    /// The `traceparent` header for calls that this hop makes.
    pub fn traceparent(&self) -> Option<String> {
        let Some(cx) = &self.recorded else { return self.parent.clone() };
        let mut carrier = Carrier(None);
        TraceContextPropagator::new().inject_context(cx, &mut carrier);
        carrier.0
    }

    /// Adds an attribute.
    pub fn set(&self, key: &'static str, value: impl Into<String>) {
        if let Some(cx) = &self.recorded {
            cx.span().set_attribute(KeyValue::new(key, value.into()));
        }
    }

    /// Marks the hop as failed.
    pub fn fail(&self, error: &Error) {
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

/// The context that a `traceparent` header names; an empty one if it can't be read.
pub(super) fn parent_context(traceparent: Option<&str>) -> Context {
    let carrier = Carrier(traceparent.map(str::to_owned));
    TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier)
}

struct Carrier(Option<String>);

impl Extractor for Carrier {
    fn get(&self, key: &str) -> Option<&str> {
        if key == TRACEPARENT { self.0.as_deref() } else { None }
    }

    fn keys(&self) -> Vec<&str> {
        vec![TRACEPARENT]
    }
}

impl Injector for Carrier {
    fn set(&mut self, key: &str, value: String) {
        if key == TRACEPARENT {
            self.0 = Some(value);
        }
    }
}

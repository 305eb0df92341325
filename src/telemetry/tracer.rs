//! Traces of one instance, sent to a collector.

use std::time::Duration;

use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::Tracer as _;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_otlp::WithHttpConfig;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::BatchConfigBuilder;
use opentelemetry_sdk::trace::BatchSpanProcessor;
use opentelemetry_sdk::trace::Sampler;
use opentelemetry_sdk::trace::SdkTracer;
use opentelemetry_sdk::trace::SdkTracerProvider;
use tokio::runtime::Handle;

use super::Hop;
use super::Span;
use super::otlp_client::OtlpClient;
use super::span;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::names::DataCentre;
use crate::names::InstanceName;
use crate::settings::Settings;

const SERVICE: &str = "tamaracklead";
/// How often spans are sent.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Spans that may wait for the next export; later ones are dropped.
const MAX_WAITING_SPANS: usize = 2048;
/// Time within which the last spans must be sent when the process ends.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// Traces of one instance; without a collector it only passes contexts on.
#[derive(Clone, Debug)]
pub struct Tracer {
    active: Option<Active>,
}

#[derive(Clone, Debug)]
struct Active {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

impl Tracer {
    /// Traces that are not recorded.
    pub fn off() -> Self {
        Self { active: None }
    }

    /// Traces as the settings say, sent on `runtime`.
    ///
    /// # Errors
    ///
    /// `Internal` if the exporter can't be made.
    pub fn start(settings: &Settings, runtime: Handle) -> Result<Self, Error> {
        let Some(collector) = settings.telemetry.otlp else { return Ok(Self::off()) };
        let exporter = SpanExporter::builder()
            .with_http()
            .with_http_client(OtlpClient::new(runtime))
            .with_endpoint(OtlpClient::endpoint(collector))
            .build()
            .map_err(|e| {
                Error::new(ErrorKind::Internal, format!("traces to {collector} can't be sent: {e}"))
            })?;
        let batches = BatchConfigBuilder::default()
            .with_scheduled_delay(EXPORT_INTERVAL)
            .with_max_queue_size(MAX_WAITING_SPANS)
            .build();
        let processor = BatchSpanProcessor::builder(exporter).with_batch_config(batches).build();
        let share = f64::from(settings.telemetry.trace_percent) / 100.0;
        let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(share)));
        let provider = SdkTracerProvider::builder()
            .with_span_processor(processor)
            .with_sampler(sampler)
            .with_resource(resource(&settings.instance, &settings.data_centre))
            .build();
        let tracer = provider.tracer(SERVICE);
        Ok(Self { active: Some(Active { provider, tracer }) })
    }

    /// Begins the span of one hop; `parent` is a `traceparent` header's value.
    pub fn span(&self, hop: Hop, parent: Option<&str>) -> Span {
        let Some(active) = &self.active else { return Span::unrecorded(parent) };
        let parent = span::parent_context(parent);
        let builder = active.tracer.span_builder(hop.name()).with_kind(hop.kind());
        let otel_span = active.tracer.build_with_context(builder, &parent);
        Span::recorded(Context::new().with_span(otel_span))
    }

    /// Sends the last spans; blocks for up to three seconds.
    pub fn shutdown(&self) {
        if let Some(active) = &self.active
            && let Err(e) = active.provider.shutdown_with_timeout(SHUTDOWN_TIMEOUT)
        {
            log::warn!("last traces were not sent: {e}");
        }
    }
}

fn resource(instance: &InstanceName, data_centre: &DataCentre) -> Resource {
    Resource::builder_empty()
        .with_service_name(SERVICE)
        .with_attribute(KeyValue::new("service.instance.id", instance.as_str().to_owned()))
        .with_attribute(KeyValue::new("data_centre", data_centre.as_str().to_owned()))
        .build()
}

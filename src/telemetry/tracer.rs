//! Tracing of one instance: sampling, batching and export over OTLP.

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

const SERVICE_NAME: &str = "tamaracklead";
/// Interval at which spans are exported.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Spans queued for the next export; further ones are dropped.
const MAX_QUEUED_SPANS: usize = 2048;
/// Longest time that the last export may take when the process ends.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts spans; without a collector it only propagates trace contexts.
#[derive(Clone, Debug)]
pub struct Tracer {
    pipeline: Option<ExportPipeline>,
}

#[derive(Clone, Debug)]
struct ExportPipeline {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

impl Tracer {
    /// A tracer that records nothing.
    pub fn disabled() -> Self {
        Self { pipeline: None }
    }

    /// A tracer by the settings; exports run on `runtime`.
    ///
    /// # Errors
    ///
    /// `Internal` if the exporter can't be built.
    pub fn start(settings: &Settings, runtime: Handle) -> Result<Self, Error> {
        let Some(collector) = settings.telemetry.otlp else { return Ok(Self::disabled()) };
        let exporter = SpanExporter::builder()
            .with_http()
            .with_http_client(OtlpClient::new(runtime))
            .with_endpoint(OtlpClient::traces_url(collector))
            .build()
            .map_err(|e| {
                Error::new(
                    ErrorKind::Internal,
                    format!("exporter of traces to {collector} can't be built: {e}"),
                )
            })?;
        let batch_config = BatchConfigBuilder::default()
            .with_scheduled_delay(EXPORT_INTERVAL)
            .with_max_queue_size(MAX_QUEUED_SPANS)
            .build();
        let processor =
            BatchSpanProcessor::builder(exporter).with_batch_config(batch_config).build();
        let sampling_ratio = f64::from(settings.telemetry.trace_percent) / 100.0;
        let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(sampling_ratio)));
        let provider = SdkTracerProvider::builder()
            .with_span_processor(processor)
            .with_sampler(sampler)
            .with_resource(service_resource(&settings.instance, &settings.data_centre))
            .build();
        let tracer = provider.tracer(SERVICE_NAME);
        Ok(Self { pipeline: Some(ExportPipeline { provider, tracer }) })
    }

    /// Starts the span of one hop; `parent` is the value of a `traceparent` header.
    ///
    /// Without a valid parent it starts a new trace, sampled at `trace_percent`.
    pub fn start_span(&self, hop: Hop, parent: Option<&str>) -> Span {
        let Some(pipeline) = &self.pipeline else { return Span::unrecorded(parent) };
        let parent = span::parent_context(parent);
        let builder = pipeline.tracer.span_builder(hop.name()).with_kind(hop.kind());
        let otel_span = pipeline.tracer.build_with_context(builder, &parent);
        Span::recorded(Context::new().with_span(otel_span))
    }

    /// Exports the queued spans; blocks for up to three seconds.
    pub fn shutdown(&self) {
        if let Some(pipeline) = &self.pipeline
            && let Err(e) = pipeline.provider.shutdown_with_timeout(SHUTDOWN_TIMEOUT)
        {
            log::warn!("spans still queued at shutdown were not exported: {e}");
        }
    }
}

fn service_resource(instance: &InstanceName, data_centre: &DataCentre) -> Resource {
    Resource::builder_empty()
        .with_service_name(SERVICE_NAME)
        .with_attribute(KeyValue::new("service.instance.id", instance.as_str().to_owned()))
        .with_attribute(KeyValue::new("data_centre", data_centre.as_str().to_owned()))
        .build()
}

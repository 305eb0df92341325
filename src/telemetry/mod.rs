//! Telemetry of an entry instance: log lines, StatsD metrics and OpenTelemetry traces.
//!
//! Events are counted by metrics; a log line is written only for a change of state. Counters
//! are kept in memory and sent as sums once a second, so their traffic doesn't grow with the
//! request rate. Each hop of a request is one span.

mod counter;
mod gauge;
mod hop;
mod line_output;
mod log;
mod log_queue;
mod lost_lines;
mod metrics;
mod otlp_client;
mod raw_stdout;
mod span;
mod timing;
mod tracer;

pub use counter::Counter;
pub use gauge::Gauge;
pub use hop::Hop;
pub use line_output::LineOutput;
pub use log::start_log;
pub use log_queue::LogQueue;
pub use lost_lines::LostLines;
pub use metrics::Metrics;
pub use metrics::REPORT_INTERVAL;
pub use raw_stdout::RawStdout;
pub use span::Span;
pub use timing::Timing;
pub use tracer::Tracer;

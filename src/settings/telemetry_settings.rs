//! Where logs, metrics and traces go.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde::Deserialize;

use super::section::Section;

const TRACE_PERCENT: u64 = 100;
const TRACE_PERCENT_BOUNDS: RangeInclusive<u64> = 0..=100;

/// Where logs, metrics and traces go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Telemetry {
    /// Least severe log line that is written (`log_level`).
    pub log_level: LogLevel,
    /// StatsD address for metrics over UDP (`statsd`); no metrics if absent.
    pub statsd: Option<SocketAddr>,
    /// Collector address for traces, OTLP over HTTP (`otlp`); no traces if absent.
    pub otlp: Option<SocketAddr>,
    /// Share of new traces that are recorded, in percent (`trace_percent`).
    pub trace_percent: u8,
}

/// Least severe log line that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// Faults of this program.
    Error,
    /// Changes of state that an operator should see.
    Warn,
    /// Every change of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

impl Telemetry {
    pub(super) fn read(mut section: Section<'_>) -> Self {
        let telemetry = Self {
            log_level: section.optional("log_level").unwrap_or_default(),
            statsd: section.optional_addr("statsd"),
            otlp: section.optional_addr("otlp"),
            trace_percent: section.number("trace_percent", TRACE_PERCENT, TRACE_PERCENT_BOUNDS)
                as u8,
        };
        section.finish();
        telemetry
    }
}

//! Destinations of logs, metrics and traces.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde::Deserialize;

use super::section::Section;

const DEFAULT_TRACE_PERCENT: u64 = 100;
const TRACE_PERCENT_RANGE: RangeInclusive<u64> = 0..=100;

/// Destinations of logs, metrics and traces (`telemetry`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TelemetrySettings {
    /// Least severe level that is logged (`log_level`).
    pub log_level: LogLevel,
    /// StatsD address for metrics over UDP (`statsd`); `None` sends no metrics.
    pub statsd: Option<SocketAddr>,
    /// Collector address for traces, OTLP over HTTP (`otlp`); `None` records no traces.
    pub otlp: Option<SocketAddr>,
    /// Percentage of new traces that are sampled (`trace_percent`).
    pub trace_percent: u8,
}

/// Least severe level that is logged.
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

impl TelemetrySettings {
    pub(super) fn read(mut section: Section<'_>) -> Self {
        let telemetry = Self {
            log_level: section.value_if_set("log_level").unwrap_or_default(),
            statsd: section.addr_if_set("statsd"),
            otlp: section.addr_if_set("otlp"),
            trace_percent: section.number_or(
                "trace_percent",
                DEFAULT_TRACE_PERCENT,
                TRACE_PERCENT_RANGE,
            ) as u8,
        };
        section.report_unknown_keys();
        telemetry
    }
}

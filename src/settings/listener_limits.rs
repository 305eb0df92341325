//! Limits on the requests that listeners accept.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::section::Section;

const DEFAULT_BODY_BYTES: u64 = 1024 * 1024;
const BODY_BYTES_RANGE: RangeInclusive<u64> = 1024..=64 * 1024 * 1024;
const DEFAULT_HEADER_COUNT: u64 = 64;
const HEADER_COUNT_RANGE: RangeInclusive<u64> = 8..=128;
const DEFAULT_CONCURRENT_REQUESTS: u64 = 4096;
const CONCURRENT_REQUESTS_RANGE: RangeInclusive<u64> = 1..=65_536;
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);
const TIMEOUT_MS_RANGE: RangeInclusive<u64> = 10..=600_000;
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
const DEADLINE_MS_RANGE: RangeInclusive<u64> = 1..=3_600_000;

/// Limits on the requests that listeners accept (`limits`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Largest request body of callers and operators (`body_bytes`).
    pub body_bytes: usize,
    /// Largest number of headers in a request (`header_count`).
    pub header_count: usize,
    /// Largest number of requests in progress on one listener (`concurrent_requests`).
    pub concurrent_requests: usize,
    /// Time within which a request's head must arrive (`head_timeout_ms`).
    pub head_timeout: Duration,
    /// Time within which a request's body must arrive (`body_timeout_ms`).
    pub body_timeout: Duration,
    /// Deadline of requests that set none (`default_deadline_ms`).
    pub default_deadline: Duration,
}

impl ListenerLimits {
    pub(super) fn read(mut section: Section<'_>) -> Self {
        let limits = Self {
            body_bytes: section.number_or("body_bytes", DEFAULT_BODY_BYTES, BODY_BYTES_RANGE)
                as usize,
            header_count: section.number_or(
                "header_count",
                DEFAULT_HEADER_COUNT,
                HEADER_COUNT_RANGE,
            ) as usize,
            concurrent_requests: section.number_or(
                "concurrent_requests",
                DEFAULT_CONCURRENT_REQUESTS,
                CONCURRENT_REQUESTS_RANGE,
            ) as usize,
            head_timeout: section.millis_or(
                "head_timeout_ms",
                DEFAULT_HEAD_TIMEOUT,
                TIMEOUT_MS_RANGE,
            ),
            body_timeout: section.millis_or(
                "body_timeout_ms",
                DEFAULT_BODY_TIMEOUT,
                TIMEOUT_MS_RANGE,
            ),
            default_deadline: section.millis_or(
                "default_deadline_ms",
                DEFAULT_DEADLINE,
                DEADLINE_MS_RANGE,
            ),
        };
        section.report_unknown_keys();
        limits
    }
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            body_bytes: DEFAULT_BODY_BYTES as usize,
            header_count: DEFAULT_HEADER_COUNT as usize,
            concurrent_requests: DEFAULT_CONCURRENT_REQUESTS as usize,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            body_timeout: DEFAULT_BODY_TIMEOUT,
            default_deadline: DEFAULT_DEADLINE,
        }
    }
}

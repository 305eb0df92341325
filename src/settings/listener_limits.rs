//! Limits on what callers send.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::section::Section;

const BODY_BYTES: u64 = 1024 * 1024;
const BODY_BYTES_BOUNDS: RangeInclusive<u64> = 1024..=64 * 1024 * 1024;
const HEADER_COUNT: u64 = 64;
const HEADER_COUNT_BOUNDS: RangeInclusive<u64> = 8..=128;
const CONCURRENT_REQUESTS: u64 = 4096;
const CONCURRENT_REQUESTS_BOUNDS: RangeInclusive<u64> = 1..=65_536;
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const TIMEOUT_MS_BOUNDS: RangeInclusive<u64> = 10..=600_000;
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
const DEADLINE_MS_BOUNDS: RangeInclusive<u64> = 1..=3_600_000;

/// Limits on what callers send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body, in bytes (`body_bytes`).
    pub body_bytes: usize,
    /// Most headers of a request (`header_count`).
    pub header_count: usize,
    /// Most requests in progress at once on one listener (`concurrent_requests`).
    pub concurrent_requests: usize,
    /// Time within which a request's head must arrive (`head_timeout_ms`).
    pub head_timeout: Duration,
    /// Time within which a request's body must arrive (`body_timeout_ms`).
    pub body_timeout: Duration,
    /// Deadline of requests that name none (`default_deadline_ms`).
    pub default_deadline: Duration,
}

impl Limits {
    pub(super) fn read(mut section: Section<'_>) -> Self {
        let limits = Self {
            body_bytes: section.number("body_bytes", BODY_BYTES, BODY_BYTES_BOUNDS) as usize,
            header_count: section.number("header_count", HEADER_COUNT, HEADER_COUNT_BOUNDS)
                as usize,
            concurrent_requests: section.number(
                "concurrent_requests",
                CONCURRENT_REQUESTS,
                CONCURRENT_REQUESTS_BOUNDS,
            ) as usize,
            head_timeout: section.millis("head_timeout_ms", HEAD_TIMEOUT, TIMEOUT_MS_BOUNDS),
            body_timeout: section.millis("body_timeout_ms", BODY_TIMEOUT, TIMEOUT_MS_BOUNDS),
            default_deadline: section.millis(
                "default_deadline_ms",
                DEFAULT_DEADLINE,
                DEADLINE_MS_BOUNDS,
            ),
        };
        section.finish();
        limits
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: BODY_BYTES as usize,
            header_count: HEADER_COUNT as usize,
            concurrent_requests: CONCURRENT_REQUESTS as usize,
            head_timeout: HEAD_TIMEOUT,
            body_timeout: BODY_TIMEOUT,
            default_deadline: DEFAULT_DEADLINE,
        }
    }
}

//! Limit on a graceful shutdown.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::section::Section;

const HARD_LIMIT_S_RANGE: RangeInclusive<u64> = 1..=86_400;

/// Limit on a graceful shutdown (`shutdown`).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// Time after which a graceful shutdown aborts the requests still running
    /// (`hard_limit_s`); `None` waits for all of them.
    pub hard_limit: Option<Duration>,
}

impl ShutdownSettings {
    pub(super) fn read(mut section: Section<'_>) -> Self {
        let hard_limit = section.number_if_set("hard_limit_s", HARD_LIMIT_S_RANGE);
        section.report_unknown_keys();
        Self { hard_limit: hard_limit.map(Duration::from_secs) }
    }
}

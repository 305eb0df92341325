//! How the process ends.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::section::Section;

const HARD_LIMIT_S_BOUNDS: RangeInclusive<u64> = 1..=86_400;

/// How the process ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shutdown {
    /// Time after which a graceful shutdown cuts off what still runs (`hard_limit_s`);
    /// without one it waits for every request.
    pub hard_limit: Option<Duration>,
}

impl Shutdown {
    pub(super) fn read(mut section: Section<'_>) -> Self {
        let hard_limit = section.number_if_set("hard_limit_s", HARD_LIMIT_S_BOUNDS);
        section.finish();
        Self { hard_limit: hard_limit.map(Duration::from_secs) }
    }
}

//! Wall-clock time, as messages between processes carry it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Milliseconds since the Unix epoch on one machine's clock.
///
/// Clocks of different machines are skewed, so use it only for checks with wide bounds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Time from `earlier` to this point; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The time `span` later; saturates.
    pub fn after(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

//! Monotonic time, passed into the decision code, which reads no clock itself.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point on the monotonic clock of one process, in microseconds since its start.
///
/// Timestamps of different processes can't be compared, so messages carry durations instead.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// Converts microseconds since the start of the process.
    pub fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Converts milliseconds since the start of the process; saturates.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }

    /// Microseconds since the start of the process.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Time from `earlier` to this point; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

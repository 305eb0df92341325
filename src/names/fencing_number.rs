//! Fencing numbers of engine orders.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Fencing number; an engine that checks it refuses a number below the highest it has seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

impl FencingNumber {
    /// The number that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

//! Fencing tokens, which let an engine reject a former owner.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Fencing token of an engine's owner, sent with each order and each generation request.
///
/// An engine that checks it refuses a number below the highest that it has seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

impl FencingNumber {
    /// This number plus one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

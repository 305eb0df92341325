//! Incarnations, which tell a restarted process from the one before.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Number that a process draws at each start; a restarted process never reuses an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

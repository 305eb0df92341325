//! How long an earlier holder of a replica's orders has to wait before it may hold them again.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::InstanceName;

/// An instance that gave a replica orders lately, and its wait.
///
/// The time left is passed on rather than the time of the order, as clocks of different processes
/// can't be compared; the delay of the message only makes the wait longer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderWait {
    /// The instance; it has the same name after a restart.
    pub holder: InstanceName,
    /// Time left of the wait, in milliseconds.
    pub wait_ms: u64,
}

impl HolderWait {
    /// The wait of `holder`, rounded up to whole milliseconds.
    pub fn new(holder: InstanceName, wait: Duration) -> Self {
        let wait_ms = wait.as_micros().div_ceil(1000);
        Self { holder, wait_ms: u64::try_from(wait_ms).unwrap_or(u64::MAX) }
    }
}

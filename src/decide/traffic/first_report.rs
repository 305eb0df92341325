//! When an owner that may not give orders yet is asked again whether a replica holds an adapter.
//!
//! Until the owner has read a report of the replica, it doesn't know what that holds. This is known far
//! sooner than orders may be given, so a request isn't sent away for that long.

use std::time::Duration;

use crate::names::Timestamp;

/// Time after which the owner is asked again while the first report is awaited.
const ASK_AGAIN_IN: Duration = Duration::from_millis(60);
/// Time within which the first report is awaited.
const AWAITED_FOR: Duration = Duration::from_millis(400);

/// What an owner knows of a replica by its reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstReport {
    /// One was read.
    Read,
    /// None was read since the replica was taken over.
    Missing {
        /// When it was taken over.
        since: Timestamp,
    },
}

impl FirstReport {
    /// Time after which the owner should be asked again that may give orders in `orders_in`; `None` if it
    /// shouldn't be.
    pub fn ask_again_in(self, now: Timestamp, orders_in: Option<Duration>) -> Option<Duration> {
        match self {
            Self::Missing { since } if now.since(since) < AWAITED_FOR => {
                orders_in.map(|wait| wait.min(ASK_AGAIN_IN))
            }
            Self::Missing { .. } | Self::Read => orders_in,
        }
    }
}

//! Wait of a submission until a replica of its desk may get new work.
//!
//! After a pause this process may send nothing before its peers have answered. The pause may be
//! detected at any point before the send, so the wait is resumed whenever no replica is
//! permitted, and ends the submission as not run only once its time is over.

use std::time::Duration;

use crate::names::Timestamp;

/// Longest wait of a submission until any replica may get new work.
const MAX_PERMISSION_WAIT: Duration = Duration::from_secs(4);
/// Interval between checks whether a replica may get new work.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What a submission does next about its permission to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermissionStep {
    /// A replica may get it now.
    Proceed,
    /// No replica may get it yet; check again after this time.
    Wait(Duration),
    /// The wait is over, and no replica may get it.
    GiveUp,
}

/// Time that one submission may wait for its permission, over all its replicas.
#[derive(Clone, Copy, Debug)]
pub struct PermissionWait {
    deadline: Timestamp,
}

impl PermissionWait {
    /// A wait that begins now.
    pub fn start(now: Timestamp) -> Self {
        Self { deadline: now + MAX_PERMISSION_WAIT }
    }

    /// Decides the next step; `is_permitted` is whether any replica may get new work.
    pub fn step(&self, now: Timestamp, is_permitted: bool) -> PermissionStep {
        if is_permitted {
            return PermissionStep::Proceed;
        }
        let left = self.deadline.since(now);
        if left.is_zero() {
            PermissionStep::GiveUp
        } else {
            PermissionStep::Wait(CHECK_INTERVAL.min(left))
        }
    }
}

//! Another instance, as one instance knows it.

use std::time::Duration;

use super::PeerRecord;
use crate::names::Timestamp;

/// Time without a new heartbeat after which an instance no longer counts as live.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time without a new heartbeat for which an instance still counts as part of the fleet.
const RECENT_TIME: Duration = Duration::from_secs(10);
/// Time without a new heartbeat after which an instance is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Time for which a changed record is sent whole.
const SEND_WHOLE_TIME: Duration = Duration::from_millis(1500);

/// What an instance knows of another one.
#[derive(Clone, Debug)]
pub struct KnownPeer {
    /// Its record.
    pub record: PeerRecord,
    /// Tag of the record.
    pub tag: u32,
    /// When its heartbeat advanced last.
    pub last_heard: Timestamp,
    /// When something other than the heartbeat changed.
    pub last_changed: Timestamp,
}

impl KnownPeer {
    /// Whether it counts as live.
    pub fn is_live(&self, now: Timestamp) -> bool {
        now.since(self.last_heard) < LIVENESS_TIMEOUT
    }

    /// Whether it still counts as part of the fleet.
    pub fn is_recent(&self, now: Timestamp) -> bool {
        now.since(self.last_heard) < RECENT_TIME
    }

    /// Whether it is to be forgotten.
    pub fn is_forgotten(&self, now: Timestamp) -> bool {
        now.since(self.last_heard) >= FORGET_AFTER
    }

    /// Whether its record changed so lately that it is sent whole.
    pub fn has_changed_lately(&self, now: Timestamp) -> bool {
        now.since(self.last_changed) < SEND_WHOLE_TIME
    }
}

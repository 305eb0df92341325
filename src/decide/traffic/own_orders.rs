//! When this instance last ordered each replica, remembered beyond the lease.
//!
//! A replica that was handed over can come back soon, if its new owner shuts down. Two holders
//! must not take turns within one lease time, so the earlier holder then waits for the rest of it.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::BackendName;
use crate::names::Timestamp;

/// Time for which an order is remembered; longer than any lease.
const REMEMBERED_TIME: Duration = Duration::from_secs(60);
/// Replicas from which on orders that are no longer remembered are dropped.
const PRUNE_ABOVE: usize = 64;

/// Last orders of this instance, by replica.
#[derive(Clone, Debug, Default)]
pub struct OwnOrders {
    last: HashMap<BackendName, Timestamp>,
}

impl OwnOrders {
    /// Records that an order to a replica is sent, or was on its way until now.
    pub fn on_order(&mut self, now: Timestamp, replica: &BackendName) {
        if self.last.len() > PRUNE_ABOVE {
            self.last.retain(|_, at| now.since(*at) < REMEMBERED_TIME);
        }
        self.last.insert(replica.clone(), now);
    }

    /// When the last order to a replica was given; `None` if there is none to remember.
    pub fn last(&self, replica: &BackendName) -> Option<Timestamp> {
        self.last.get(replica).copied()
    }
}

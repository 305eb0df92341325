//! Whether one instance reaches the replicas of one service.
//!
//! It counts as cut off when connections to several replicas couldn't be made one after the other and
//! none could in between. Whether these replicas are down instead is for the other instances to say:
//! then they are cut off too. Connections that exist prove nothing, as they may live on or hang
//! while new ones are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::BackendName;
use crate::names::Timestamp;

/// Replicas without a connection from which on the service counts as out of reach; fewer if it has
/// fewer.
const FAILED_REPLICAS: usize = 3;
/// Time for which a failure counts.
const FAILURE_TTL: Duration = Duration::from_secs(3);
/// Interval between two rounds of trial connections.
const TRIAL_INTERVAL: Duration = Duration::from_millis(300);

/// What one instance knows of its links to a service's replicas.
#[derive(Clone, Debug, Default)]
pub struct ServiceReach {
    failed: BTreeMap<BackendName, Timestamp>,
    is_cut: bool,
    tried_at: Option<Timestamp>,
}

impl ServiceReach {
    /// Records a connection to a replica; returns whether a cut has ended.
    pub fn on_connected(&mut self) -> bool {
        self.failed.clear();
        std::mem::take(&mut self.is_cut)
    }

    /// Records that no connection to a replica could be made, one of `replicas` that accept
    /// requests; returns whether a cut has begun.
    pub fn on_unreachable(
        &mut self,
        now: Timestamp,
        replica: &BackendName,
        replicas: usize,
    ) -> bool {
        self.failed.retain(|_, at| now.since(*at) < FAILURE_TTL);
        self.failed.insert(replica.clone(), now);
        let was_cut = self.is_cut;
        self.is_cut |= self.failed.len() >= FAILED_REPLICAS.min(replicas.max(1));
        self.is_cut && !was_cut
    }

    /// Whether the instance is cut off from the service.
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Whether to try connections to replicas now: failures are recent, or the service is cut off.
    pub fn should_try(&mut self, now: Timestamp) -> bool {
        self.failed.retain(|_, at| now.since(*at) < FAILURE_TTL);
        let is_suspected = self.is_cut || !self.failed.is_empty();
        let is_due = self.tried_at.is_none_or(|at| now.since(at) >= TRIAL_INTERVAL);
        if is_suspected && is_due {
            self.tried_at = Some(now);
        }
        is_suspected && is_due
    }

    /// When a connection to a replica last failed; `None` if not lately.
    pub fn failed_at(&self, replica: &BackendName) -> Option<Timestamp> {
        self.failed.get(replica).copied()
    }
}

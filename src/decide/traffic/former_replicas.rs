//! Replicas that left, as a stream may have begun at one of them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::FormerReplica;
use super::STREAM_MEMORY_TIME;
use crate::names::BackendName;
use crate::names::ServiceName;
use crate::names::Timestamp;

/// Most starts of replicas that are remembered; beyond that, the one that left first is forgotten.
const CAPACITY: usize = 1024;

/// Replicas that left lately, with the time when that was seen.
#[derive(Clone, Debug, Default)]
pub struct FormerReplicas {
    left: BTreeMap<(BackendName, u64), (FormerReplica, Timestamp)>,
}

impl FormerReplicas {
    /// Records that a replica left.
    pub fn on_left(&mut self, now: Timestamp, former: FormerReplica) {
        self.left.insert((former.name.clone(), former.started_ms), (former, now));
        if self.left.len() > CAPACITY {
            self.left.retain(|_, (_, at)| now.since(*at) < STREAM_MEMORY_TIME);
        }
        if self.left.len() > CAPACITY {
            let first = self.left.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(key) = first.map(|(key, _)| key.clone()) {
                self.left.remove(&key);
            }
        }
    }

    /// Records that a start of a replica is listed after all.
    pub fn on_listed(&mut self, name: &BackendName, started_ms: u64) {
        if !self.left.is_empty() {
            self.left.remove(&(name.clone(), started_ms));
        }
    }

    /// Replicas of a service that were seen to leave less than `within` ago.
    pub fn of_service<'a>(
        &'a self,
        now: Timestamp,
        service: &'a ServiceName,
        within: Duration,
    ) -> impl Iterator<Item = &'a FormerReplica> {
        let of_service = self.left.values().filter(move |(former, _)| former.service == *service);
        of_service.filter(move |(_, at)| now.since(*at) < within).map(|(former, _)| former)
    }
}

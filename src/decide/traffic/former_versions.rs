//! Software versions of replicas that have left, as a stream may have begun at one of them.

use std::collections::HashMap;

use super::STREAM_MEMORY_TIME;
use crate::names::ServiceName;
use crate::names::SoftwareVersion;
use crate::names::Timestamp;

/// Most pairs of a service and a version that are remembered; beyond that, the one that left first
/// is forgotten.
const CAPACITY: usize = 1024;

/// Software versions that replicas of a service ran until lately, with the time when the last one
/// left.
#[derive(Clone, Debug, Default)]
pub struct FormerVersions {
    left_at: HashMap<(ServiceName, SoftwareVersion), Timestamp>,
}

impl FormerVersions {
    /// Records that a replica left, or restarted with another version.
    pub fn on_left(&mut self, now: Timestamp, service: &ServiceName, software: &SoftwareVersion) {
        self.left_at.insert((service.clone(), software.clone()), now);
        if self.left_at.len() > CAPACITY {
            self.left_at.retain(|_, at| now.since(*at) < STREAM_MEMORY_TIME);
        }
        if self.left_at.len() > CAPACITY {
            let first = self.left_at.iter().min_by_key(|(_, at)| **at);
            if let Some(pair) = first.map(|(pair, _)| pair.clone()) {
                self.left_at.remove(&pair);
            }
        }
    }

    /// Versions that replicas of a service ran until lately.
    pub fn of_service<'a>(
        &'a self,
        now: Timestamp,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a SoftwareVersion> {
        let of_service = self.left_at.iter().filter(move |((of, _), _)| of == service);
        let recent = of_service.filter(move |(_, at)| now.since(**at) < STREAM_MEMORY_TIME);
        recent.map(|((_, software), _)| software)
    }
}

//! Replicas whose entries were removed, so that an outdated entry doesn't bring them back.
//!
//! A store that was restored from a copy lists replicas that have left since. A copied entry is
//! held back until its lease would have run out; one of a replica that was draining never counts.

use std::collections::HashMap;
use std::time::Duration;

use super::ReplicaEntry;
use super::ReplicaState;
use crate::names::BackendName;
use crate::names::Timestamp;

/// Time for which a removed replica is remembered.
const REMEMBERED_TIME: Duration = Duration::from_secs(600);
/// Most removed replicas that are remembered; beyond that, the one removed first is forgotten.
const CAPACITY: usize = 2048;

#[derive(Clone, Copy, Debug)]
struct Departure {
    started_ms: u64,
    was_draining: bool,
    at: Timestamp,
}

/// What is known of an entry's replica from an earlier removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierDeparture {
    /// It wasn't removed, or has restarted since.
    None,
    /// This start of it was removed without draining first.
    Removed,
    /// This start of it was draining.
    Draining,
    /// A later start of it was removed; the entry is outdated.
    Outdated,
}

/// Removed replicas, by name.
#[derive(Clone, Debug, Default)]
pub struct Departed {
    known: HashMap<BackendName, Departure>,
}

impl Departed {
    /// Records the removal of a replica, or that it is leaving.
    pub fn on_departed(
        &mut self,
        now: Timestamp,
        name: &BackendName,
        started_ms: u64,
        was_draining: bool,
    ) {
        if self.known.len() >= CAPACITY {
            self.known.retain(|_, known| now.since(known.at) < REMEMBERED_TIME);
            let first = self.known.iter().min_by_key(|(_, known)| known.at);
            if let Some(name) = first.map(|(name, _)| name.clone())
                && self.known.len() >= CAPACITY
            {
                self.known.remove(&name);
            }
        }
        let same_start = self.known.get(name).filter(|known| known.started_ms == started_ms);
        let was_draining = was_draining || same_start.is_some_and(|known| known.was_draining);
        self.known.insert(name.clone(), Departure { started_ms, was_draining, at: now });
    }

    /// What is known of the replica that an entry names.
    pub fn check(&self, entry: &ReplicaEntry) -> EarlierDeparture {
        match self.known.get(&entry.name) {
            Some(known) if entry.started_ms < known.started_ms => EarlierDeparture::Outdated,
            Some(known) if entry.started_ms > known.started_ms => EarlierDeparture::None,
            Some(known) if known.was_draining || entry.state == ReplicaState::Draining => {
                EarlierDeparture::Draining
            }
            Some(_) => EarlierDeparture::Removed,
            None => EarlierDeparture::None,
        }
    }
}

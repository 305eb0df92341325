//! Election of each replica's owner among the live instances, by rendezvous hashing.
//!
//! The result depends on the candidates alone, so it is kept until these change: an instance asks
//! for owners many times a second, and the candidates change a few times a minute.

use std::collections::HashMap;

use super::PeerRecord;
use crate::decide::rendezvous;
use crate::names::InstanceName;

/// Most replicas whose owners are kept.
const CAPACITY: usize = 16_384;
/// Time between starts, in ms, below which instances have started together.
const SAME_START_MS: u64 = 2000;

/// Candidates, and the owners that follow from them.
#[derive(Clone, Debug, Default)]
pub struct OwnerElection {
    candidates: Vec<InstanceName>,
    owners: HashMap<Box<str>, InstanceName>,
}

impl OwnerElection {
    /// Replaces the candidates, which are sorted by name.
    pub fn set_candidates(&mut self, candidates: Vec<InstanceName>) {
        if candidates != self.candidates {
            self.candidates = candidates;
            self.owners.clear();
        }
    }

    /// The first candidate in a replica's rendezvous ranking; `None` without candidates.
    pub fn owner(&mut self, replica: &str) -> Option<InstanceName> {
        if let Some(owner) = self.owners.get(replica) {
            return Some(owner.clone());
        }
        let ranking = rendezvous::Ranking::new(replica);
        let owner = self
            .candidates
            .iter()
            .max_by_key(|name| (ranking.score(name.as_str()), *name))
            .cloned()?;
        if self.owners.len() >= CAPACITY {
            self.owners.clear();
        }
        self.owners.insert(replica.into(), owner.clone());
        Some(owner)
    }
}

/// Names of the instances that may own replicas, sorted: none that shuts down or can't be called, that
/// has just started while settled ones are there, or that is cut off from replicas while others aren't.
pub fn candidates<'a>(all: impl Iterator<Item = &'a PeerRecord>) -> Vec<InstanceName> {
    let all: Vec<&PeerRecord> = all.filter(|record| !record.draining).collect();
    let settled = all.iter().filter(|record| record.settled);
    let oldest = settled.map(|record| record.started_ms).min();
    let may_own = all.into_iter().filter(|record| {
        record.settled
            || oldest.is_none_or(|at| record.started_ms < at.saturating_add(SAME_START_MS))
    });
    let may_own: Vec<&PeerRecord> = may_own.collect();
    let has_links = may_own.iter().any(|record| !record.gives_no_orders);
    let chosen = may_own.iter().filter(|record| !(has_links && record.gives_no_orders));
    let mut names: Vec<InstanceName> = chosen.map(|record| record.name.clone()).collect();
    names.sort_unstable();
    names
}

/// Number of the others that rank above `me` for a replica and don't shut down.
pub fn rank<'a>(
    others: impl Iterator<Item = &'a PeerRecord>,
    me: &PeerRecord,
    replica: &str,
) -> usize {
    let ranking = rendezvous::Ranking::new(replica);
    let score = |record: &PeerRecord| (ranking.score(record.name.as_str()), record.name.clone());
    let own = score(me);
    others.filter(|record| !record.draining && score(record) > own).count()
}

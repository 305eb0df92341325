//! Election of each replica's owner among the live instances, by rendezvous hashing.
//!
//! The result depends on the candidates alone, so it is kept until these change: an instance asks
//! for owners many times a second, and the candidates change a few times a minute.

use std::collections::HashMap;

use crate::decide::rendezvous;
use crate::names::InstanceName;

/// Most replicas whose owners are kept.
const CAPACITY: usize = 16_384;

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

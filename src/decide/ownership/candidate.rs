//! Instances that may own engines, and which of them is preferred for a key.

use crate::decide::rendezvous;
use crate::names::DataCentre;
use crate::names::InstanceName;

/// An instance that may own engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name that it is ranked by.
    pub name: InstanceName,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
}

/// The candidate that rendezvous hashing ranks first for `key`: of the data centre, else of all.
pub fn preferred_candidate(
    key: &str,
    data_centre: &DataCentre,
    candidates: &[Candidate],
) -> Option<InstanceName> {
    let near = candidates.iter().filter(|candidate| &candidate.data_centre == data_centre);
    highest_ranked(key, near).or_else(|| highest_ranked(key, candidates.iter()))
}

fn highest_ranked<'a>(
    key: &str,
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Option<InstanceName> {
    candidates
        .max_by_key(|candidate| rendezvous::score(key, candidate.name.as_str()))
        .map(|candidate| candidate.name.clone())
}

//! Which instance owns an engine.

use crate::decide::rendezvous;
use crate::names::BackendName;
use crate::names::DataCentre;
use crate::names::InstanceName;

/// An instance that may own engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the instance.
    pub name: InstanceName,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
}

/// The instance that should own an engine: the best of its data centre, else the best of all.
pub fn preferred_owner(
    engine: &BackendName,
    data_centre: &DataCentre,
    candidates: &[Candidate],
) -> Option<InstanceName> {
    let near = candidates.iter().filter(|candidate| &candidate.data_centre == data_centre);
    best(engine, near).or_else(|| best(engine, candidates.iter()))
}

fn best<'a>(
    engine: &BackendName,
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Option<InstanceName> {
    candidates
        .max_by_key(|candidate| rendezvous::score(engine.as_str(), candidate.name.as_str()))
        .map(|candidate| candidate.name.clone())
}

//! Groups of engines that share a lease.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Candidate;
use super::candidate;
use crate::decide::rendezvous;
use crate::names::BackendName;
use crate::names::DataCentre;
use crate::names::InstanceName;
use crate::wire::listing::BackendRole;
use crate::wire::listing::FencingMode;
use crate::wire::listing::ListedBackend;

/// Groups for each data centre and fencing mode; fixed, so that no change of the list of instances
/// moves an engine to another group.
const BUCKETS: u64 = 128;
/// Constant that is hashed with an engine's name to get its bucket.
const BUCKET_SALT: &str = "engine-group";

/// Identifies the engines of one data centre and fencing mode that share a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// Data centre of the engines.
    pub data_centre: DataCentre,
    /// What the engines do with old fencing numbers.
    pub fencing: FencingMode,
    /// Number of the group, below 128.
    pub bucket: u8,
}

impl GroupId {
    /// The group of a listed engine; `None` for a desk.
    pub fn of(backend: &ListedBackend) -> Option<Self> {
        let BackendRole::Engine { fencing, .. } = backend.role else { return None };
        Some(Self::new(&backend.name, backend.data_centre.clone(), fencing))
    }

    /// The group of the engine with this name, data centre and fencing mode.
    pub fn new(engine: &BackendName, data_centre: DataCentre, fencing: FencingMode) -> Self {
        let bucket = (rendezvous::score(engine.as_str(), BUCKET_SALT) % BUCKETS) as u8;
        Self { data_centre, fencing, bucket }
    }

    /// The instance that should own the group: the highest ranked of its data centre, else of all.
    pub fn preferred_owner(&self, candidates: &[Candidate]) -> Option<InstanceName> {
        candidate::preferred_candidate(&self.to_string(), &self.data_centre, candidates)
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fencing = match self.fencing {
            FencingMode::Refuse => "refuse",
            FencingMode::Ignore => "ignore",
        };
        write!(f, "{}/{fencing}/{}", self.data_centre, self.bucket)
    }
}

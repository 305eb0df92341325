//! Plan of one replica as its owner hands it over to the next one.

use serde::Deserialize;
use serde::Serialize;

use super::AdapterKey;

/// What an owner hands over to its successor, together with the order lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanHandover {
    /// Adapters and models that the replica holds, with their versions.
    pub held: Vec<(AdapterKey, u64)>,
    /// Adapters that are being loaded.
    #[serde(rename = "coming")]
    pub loading: Vec<AdapterKey>,
    /// Adapters that were unloaded so recently that reports may still show them.
    pub unloaded: Vec<AdapterKey>,
    /// Adapters that the replica keeps copies of, with versions, the latest held last.
    #[serde(rename = "had")]
    pub warm_copies: Vec<(AdapterKey, u64)>,
}

//! What a holder of a replica's orders tells its successor.

use serde::Deserialize;
use serde::Serialize;

use super::AdapterKey;

/// What a holder of the orders tells its successor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanHandover {
    /// Adapters and models that the replica holds, with their versions.
    pub held: Vec<(AdapterKey, u64)>,
    /// Adapters on their way.
    pub coming: Vec<AdapterKey>,
    /// Adapters that were unloaded so lately that reports may still show them.
    pub unloaded: Vec<AdapterKey>,
    /// Versions that the replica had before, the latest last.
    pub had: Vec<(AdapterKey, u64)>,
}

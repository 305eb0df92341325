//! What instances tell each other about a replica's limits.

use serde::Deserialize;
use serde::Serialize;

use super::NamedLimits;
use crate::names::BackendName;

/// Limits that a replica named lately, or that it named none any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// The replica.
    pub replica: BackendName,
    /// Start time of the replica, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// What it named.
    pub limits: NamedLimits,
    /// Time since the response that said so, in milliseconds.
    pub age_ms: u64,
}

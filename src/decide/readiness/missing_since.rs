//! What an instance lacks, and since when.

use serde::Serialize;

use super::Missing;
use super::WaitsFor;

/// Something that is missing, for the log and the body of a readiness check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct MissingSince {
    /// What it is.
    pub what: Missing,
    /// Time since it is missing, in ms.
    pub missing_ms: u64,
    /// Who or what can end that.
    pub waits_for: &'static [WaitsFor],
}

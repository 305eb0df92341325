//! Suspicions against requests, and their withdrawal, as instances tell each other.

use serde::Deserialize;
use serde::Serialize;

use super::Fingerprint;
use crate::names::BackendName;
use crate::names::Incarnation;

/// Records that a request was running when an incarnation of an engine ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Strike {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The engine.
    pub engine: BackendName,
    /// Incarnation that ended.
    pub incarnation: Incarnation,
}

/// Records that a request ran alone to its end, so that another one caused its strikes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clearance {
    /// Strikes that don't count any more, also when they arrive later.
    pub strikes: Vec<Strike>,
}

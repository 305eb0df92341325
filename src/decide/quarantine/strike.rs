//! What instances tell each other of requests that may crash engines.

use serde::Deserialize;
use serde::Serialize;

use super::Fingerprint;
use crate::names::BackendName;
use crate::names::Incarnation;

/// A request was running when an incarnation of an engine ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Strike {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The engine.
    pub engine: BackendName,
    /// Incarnation that ended.
    pub incarnation: Incarnation,
}

/// A request with a strike ran alone to its end: the strike was another's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clearance {
    /// Strikes that don't count any more.
    pub strikes: Vec<Strike>,
}

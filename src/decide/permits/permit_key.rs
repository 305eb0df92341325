//! Identity of the load that a permit is for.

use serde::Deserialize;
use serde::Serialize;

use crate::names::AdapterRef;
use crate::names::BackendName;

/// The load of one adapter onto one engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitKey {
    /// Engine that loads.
    pub engine: BackendName,
    /// Adapter and version to load.
    pub adapter: AdapterRef,
}

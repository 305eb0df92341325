//! What a permit is for.

use serde::Deserialize;
use serde::Serialize;

use crate::names::AdapterRef;
use crate::names::BackendName;

/// A load of one adapter on one engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitKey {
    /// The engine.
    pub engine: BackendName,
    /// The adapter.
    pub adapter: AdapterRef,
}

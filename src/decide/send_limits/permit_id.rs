//! Identifier of a permit.

use serde::Deserialize;
use serde::Serialize;

use crate::names::InstanceName;

/// Identifies a permit to send one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitId {
    /// The instance that sends.
    pub user: InstanceName,
    /// Number of the permit, drawn by that instance.
    pub serial: u64,
}

//! News of what an instance uses at a replica.

use serde::Deserialize;
use serde::Serialize;

use crate::names::InstanceName;

/// How many requests of an instance use an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseUpdate {
    /// The instance.
    pub user: InstanceName,
    /// Its requests that use the adapter.
    pub count: u32,
    /// Grows with each news of the instance.
    pub serial: u64,
}

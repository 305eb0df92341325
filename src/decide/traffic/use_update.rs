//! Update of how many requests of an instance use an adapter at a replica.

use serde::Deserialize;
use serde::Serialize;

use crate::names::InstanceName;

/// Number of requests of an instance that use an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseUpdate {
    /// The instance.
    pub user: InstanceName,
    /// Its requests in progress that use the adapter.
    pub count: u32,
    /// Increases with each update of the instance, also over its restarts, so that older ones are
    /// recognised.
    pub serial: u64,
}

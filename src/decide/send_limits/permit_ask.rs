//! What an instance says when it asks for a permit.

use std::time::Duration;

use super::NamedLimits;
use super::PermitId;

/// Ask for a permit to send one request to a replica.
#[derive(Clone, Debug)]
pub struct PermitAsk {
    /// The permit.
    pub id: PermitId,
    /// Limits to keep.
    pub limits: NamedLimits,
    /// Requests that may run there at once.
    pub slots: u32,
    /// Requests of the sender that run there, whoever permitted them.
    pub running: u32,
    /// Time after which the request has ended in any case.
    pub expires_in: Duration,
}

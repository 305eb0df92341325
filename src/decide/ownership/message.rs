//! Messages between the holder of a lease and its panel.

use serde::Deserialize;
use serde::Serialize;

use super::GroupId;
use crate::names::Incarnation;
use crate::names::InstanceName;

/// The process that asks for a lease: one incarnation of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimant {
    /// Name of the instance.
    pub name: InstanceName,
    /// Incarnation of the process; a restarted instance is another claimant.
    pub incarnation: Incarnation,
}

/// Asks a panel member to grant or renew a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Group to be leased.
    pub group: GroupId,
    /// Who asks.
    pub claimant: Claimant,
    /// Number of the attempt; it grows with each attempt of the claimant.
    pub round: u64,
}

/// Reply to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Group of the request.
    pub group: GroupId,
    /// Attempt of the request.
    pub round: u64,
    /// Whether the member grants the lease.
    pub granted: bool,
}

/// Tells a panel member that the claimant sends nothing more to the group's engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRelease {
    /// Group that is given up.
    pub group: GroupId,
    /// Who gives it up.
    pub claimant: Claimant,
    /// Latest attempt that is given up; a grant of a later one stays.
    pub round: u64,
}

/// Body of `POST /peer/v1/lease`; the reply to `Ask` is a [`LeaseReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Asks for a grant.
    Ask(LeaseRequest),
    /// Gives a lease up.
    Release(LeaseRelease),
}

//! Messages by which instances get permits to send to replicas that name a limit.

use serde::Deserialize;
use serde::Serialize;

use crate::decide::send_limits::LimitNews;
use crate::decide::send_limits::PermitId;
use crate::names::BackendName;

/// Path of [`PermitRequest`].
pub const PERMIT_PATH: &str = "/relay/v1/permit";
/// Path of [`PermitEnd`].
pub const PERMIT_END_PATH: &str = "/relay/v1/permit-end";

/// Asks the instance that counts the sends to a replica for a permit; older processes answer that
/// they don't know the path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The permit.
    pub id: PermitId,
    /// The replica's limits, as the sender knows them.
    pub limits: LimitNews,
    /// Requests that the replica runs at once.
    pub slots: u32,
    /// Requests of the sender that run there.
    pub running: u32,
    /// Time after which the request has ended in any case, in milliseconds.
    pub expires_ms: u64,
}

/// Reply to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Time before which asking again is useless, in milliseconds; `None` if the permit is granted.
    pub denied_for_ms: Option<u64>,
}

/// Tells the instance that granted a permit that its request has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitEnd {
    /// The replica.
    pub replica: BackendName,
    /// The permit.
    pub id: PermitId,
    /// Whether the replica turned the request away.
    pub was_rejected: bool,
}

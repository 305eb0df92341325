//! A request that waits for an engine.

use crate::names::AdapterRef;
use crate::names::RequestId;
use crate::names::Timestamp;

/// A request in the owner's queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Adapter that must serve it.
    pub adapter: AdapterRef,
    /// Priority, 0 (low) to 9 (high).
    pub priority: u8,
    /// When it arrived at the owner.
    pub arrived: Timestamp,
    /// When its first token is due; it is refused if it still waits then.
    pub deadline: Timestamp,
}

//! Events that an engine's scheduler handles.

use std::time::Duration;

use super::QueuedRequest;
use super::SafetyInput;
use crate::names::AdapterRef;
use crate::names::RequestId;

/// An event for an [`super::EngineScheduler`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineInput {
    /// A request for this engine arrived.
    Arrived(QueuedRequest),
    /// A request was withdrawn before its dispatch.
    Withdrawn(RequestId),
    /// A dispatched request ended, with or without an answer.
    Ended(RequestId),
    /// A load order ended.
    LoadEnded {
        /// Adapter of the order.
        adapter: AdapterRef,
        /// Whether the adapter is loaded now.
        loaded: bool,
    },
    /// An unload order ended.
    UnloadEnded {
        /// Adapter of the order.
        adapter: AdapterRef,
        /// Whether the adapter is unloaded now.
        unloaded: bool,
    },
    /// The weight store's permit issuer granted a load.
    PermitGranted(AdapterRef),
    /// The permit issuer's estimate of how long a new load would wait for its permit.
    LoadWait(Duration),
    /// Weight of load stalls against batch fill in the preset in force, 0 to 100.
    StallWeight(u8),
    /// Adapters that the preset in force keeps loaded on this engine.
    Pinned(Vec<AdapterRef>),
    /// The engine restarted: every slot is empty.
    Restarted,
    /// A safety constraint changed.
    Safety(SafetyInput),
    /// The engine doesn't answer: waiting requests are refused, so that they can go elsewhere.
    Unreachable,
    /// Only time passed.
    Tick,
}

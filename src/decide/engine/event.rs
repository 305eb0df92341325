//! What can happen to an engine as its owner sees it.

use std::time::Duration;

use super::QueuedRequest;
use super::SafetyInput;
use crate::names::AdapterRef;
use crate::names::RequestId;

/// An event for an [`super::EngineScheduler`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineInput {
    /// A request arrived.
    Arrived(QueuedRequest),
    /// A request's caller went away before its dispatch.
    Withdrawn(RequestId),
    /// A dispatched request ended, in whatever way.
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
    /// The store's permit holder allows a load.
    PermitGranted(AdapterRef),
    /// How long a new load would wait for its permit.
    LoadWait(Duration),
    /// The preset in force weighs load stalls so much against batch efficiency, 0 to 100.
    StallWeight(u8),
    /// The preset in force keeps these adapters loaded here.
    Pinned(Vec<AdapterRef>),
    /// The engine restarted: every slot is empty.
    Restarted,
    /// What the owner may do changed.
    Safety(SafetyInput),
    /// The engine answers no more: what waits must go elsewhere.
    Unreachable,
    /// Time passed.
    Tick,
}

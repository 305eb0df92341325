//! What the owner of an engine must do next.

use super::EngineQuery;
use crate::decide::permits::Urgency;
use crate::error::Error;
use crate::names::AdapterRef;
use crate::names::FencingNumber;
use crate::names::RequestId;

/// An action of an [`super::OwnedEngine`].
///
/// Every message to the engine needs a check of the lease just before it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnedAction {
    /// Ask the engine.
    Ask(EngineQuery),
    /// Order the engine to load an adapter.
    Load {
        /// The adapter.
        adapter: AdapterRef,
        /// Number that the order carries.
        fencing: FencingNumber,
    },
    /// Order the engine to unload an adapter if nothing runs on it.
    Unload {
        /// The adapter.
        adapter: AdapterRef,
        /// Number that the order carries.
        fencing: FencingNumber,
    },
    /// Send a waiting request to the engine.
    Dispatch {
        /// The request.
        request_id: RequestId,
        /// Number that the dispatch carries.
        fencing: FencingNumber,
    },
    /// Give a waiting request its final answer; it was not run.
    Refuse {
        /// The request.
        request_id: RequestId,
        /// Its final answer.
        error: Error,
    },
    /// Ask the store's permit holder for a load, or tell it the new urgency of one.
    RequestPermit {
        /// The adapter.
        adapter: AdapterRef,
        /// How urgent the load is.
        urgency: Urgency,
    },
    /// Give back a permit that isn't needed or whose load ended.
    ReturnPermit(AdapterRef),
}

//! What the owner of an engine must do next.

use crate::decide::permits::Urgency;
use crate::error::Error;
use crate::names::AdapterRef;
use crate::names::RequestId;

/// An action that an event brought about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineAction {
    /// Ask the store's permit holder for a load, or tell it the new urgency of one.
    RequestPermit {
        /// Adapter to load.
        adapter: AdapterRef,
        /// How urgent the load is.
        urgency: Urgency,
    },
    /// Give back a permit that isn't needed or whose load ended.
    ReturnPermit(AdapterRef),
    /// Order the engine to load an adapter.
    Load(AdapterRef),
    /// Order the engine to unload an adapter if nothing runs on it.
    Unload(AdapterRef),
    /// Send a waiting request to the engine.
    Dispatch(RequestId),
    /// Give a waiting request its final answer.
    Refuse {
        /// The request.
        request_id: RequestId,
        /// Its final answer.
        error: Error,
    },
}

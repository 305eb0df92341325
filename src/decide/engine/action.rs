//! What an engine's scheduler asks the owner to do.

use crate::decide::permits::Urgency;
use crate::error::Error;
use crate::names::AdapterRef;
use crate::names::RequestId;

/// An action of an [`super::EngineScheduler`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineAction {
    /// Request a load permit from the weight store's issuer, or tell it a request's new urgency.
    RequestPermit {
        /// Adapter to load.
        adapter: AdapterRef,
        /// How urgent the load is.
        urgency: Urgency,
    },
    /// Return a permit that isn't needed or whose load ended.
    ReturnPermit(AdapterRef),
    /// Order the engine to load an adapter.
    Load(AdapterRef),
    /// Order the engine to unload an adapter if nothing runs on it.
    Unload(AdapterRef),
    /// Send a waiting request to the engine.
    Dispatch(RequestId),
    /// Refuse a waiting request; it was not dispatched.
    Refuse {
        /// The request.
        request_id: RequestId,
        /// Why, as the caller is told.
        error: Error,
    },
}

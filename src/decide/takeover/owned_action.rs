//! What an owned engine asks its owner to do.

use super::EngineQuery;
use crate::decide::permits::Urgency;
use crate::error::Error;
use crate::names::AdapterRef;
use crate::names::FencingNumber;
use crate::names::RequestId;

/// An action of an [`super::OwnedEngine`].
///
/// The lease must be checked just before each message to the engine is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnedAction {
    /// Query or fence the engine.
    Query(EngineQuery),
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
    /// Refuse a waiting request; it was not run.
    Refuse {
        /// The request.
        request_id: RequestId,
        /// Why, as the caller is told.
        error: Error,
    },
    /// Request a load permit from the weight store's issuer, or tell it a request's new urgency.
    RequestPermit {
        /// The adapter.
        adapter: AdapterRef,
        /// How urgent the load is.
        urgency: Urgency,
    },
    /// Return a permit that isn't needed or whose load ended.
    ReturnPermit(AdapterRef),
}

//! What the owner of an engine must do next.

use super::Query;
use crate::error::Error;
use crate::names::AdapterRef;
use crate::names::Fencing;
use crate::names::RequestId;

/// An action of an [`super::OwnedEngine`].
///
/// Every message to the engine needs a check of the lease just before it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnedAction {
    /// Ask the engine.
    Ask(Query),
    /// Order the engine to load an adapter.
    Load {
        /// The adapter.
        adapter: AdapterRef,
        /// Number that the order carries.
        fencing: Fencing,
    },
    /// Order the engine to unload an adapter if nothing runs on it.
    Unload {
        /// The adapter.
        adapter: AdapterRef,
        /// Number that the order carries.
        fencing: Fencing,
    },
    /// Send a waiting request to the engine.
    Dispatch {
        /// The request.
        request_id: RequestId,
        /// Number that the dispatch carries.
        fencing: Fencing,
    },
    /// Give a waiting request its final answer; it was not run.
    Refuse {
        /// The request.
        request_id: RequestId,
        /// Its final answer.
        error: Error,
    },
}

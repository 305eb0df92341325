//! Messages to an engine that got no conclusive reply.

use crate::names::AdapterRef;
use crate::names::RequestId;

/// A message to an engine whose outcome its owner doesn't know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnresolvedMessage {
    /// An order to load or unload an adapter.
    Order,
    /// A dispatch that the engine hasn't confirmed.
    Dispatch(RequestId),
    /// A dispatch that the engine confirmed and didn't end.
    Begun {
        /// The request.
        request_id: RequestId,
        /// Adapter that serves it.
        adapter: AdapterRef,
    },
}

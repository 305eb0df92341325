//! Answer to a connection that asks for a place.

use super::ConnectionId;

/// Whether a new connection is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// It is.
    Free(ConnectionId),
    /// It is, and the other one is to be closed at once.
    Instead {
        /// The new connection.
        id: ConnectionId,
        /// The one to close.
        closed: ConnectionId,
    },
    /// It isn't: a response is awaited on all others.
    Full,
}

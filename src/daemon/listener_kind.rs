//! The three listeners of an entry instance, which differ in routes, keys and limits.

/// The listener that a request arrived at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ListenerKind {
    /// For callers.
    Caller,
    /// For other instances.
    Peer,
    /// For operators.
    Operator,
}

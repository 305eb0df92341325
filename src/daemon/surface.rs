//! The listeners of one entry instance.

/// Which listener a request came in on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Surface {
    /// For callers.
    Caller,
    /// For other instances.
    Peer,
    /// For operators.
    Operator,
}

//! Why an address can't be bound.

/// Kind of a failed bind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BindFailure {
    /// Another socket has the address, or the system has no room for one more.
    Taken,
    /// The machine doesn't have the address; it may still get it.
    NotThere,
    /// Only a change from outside can help: the process may not use the address.
    Permanent,
}

//! Why an address can't be bound.

/// Kind of a failed bind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BindFailure {
    /// Another socket has the address, or the system has no room for one more.
    Taken,
    /// The machine doesn't have the address; it may still get it.
    NotThere,
    /// The process may not use the address, which only a change from outside mends.
    Permanent,
}

//! State of one address of a process.

use super::BindFailure;

/// Whether an address is bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressState {
    /// It wasn't tried yet.
    Untried,
    /// The last try failed for this reason.
    Missing(BindFailure),
    /// The process listens on it.
    Bound,
}

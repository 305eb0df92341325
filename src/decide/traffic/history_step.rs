//! What an instance does next to learn what happened before it followed the published state.

/// What to do to learn of the changes before those that are followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryStep {
    /// Nothing now.
    Nothing,
    /// Read those up to the revision `newest`.
    Read {
        /// Revision up to which the view is complete.
        newest: u64,
    },
    /// Ask whether the store still keeps the changes after these revisions.
    Check {
        /// Revision after which all changes were read.
        oldest: u64,
        /// Revision up to which they were.
        newest: u64,
    },
}

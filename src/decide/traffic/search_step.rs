//! Steps of a search in the store's history.

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// Ask whether the changes after this revision are kept.
    Try(u64),
    /// Read the changes after this revision, the oldest from which they are kept.
    Read(u64),
    /// Nothing is kept.
    NothingKept,
}

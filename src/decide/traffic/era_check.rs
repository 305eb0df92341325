//! Comparison of the eras of a store that may be restored from a copy.

/// How the era of a response relates to that of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraCheck {
    /// The revisions are comparable.
    Same,
    /// The store was restored since; the view has to be listed anew.
    Newer,
    /// The response is from before the store was restored, and is to be ignored.
    Older,
}

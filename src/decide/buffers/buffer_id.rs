//! Identity of a buffer.

/// Names one buffer of a process; never given out twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BufferId(u64);

impl BufferId {
    /// The first one.
    pub const FIRST: Self = Self(0);

    /// The one after this.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

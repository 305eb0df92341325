//! Identity of a connection.

/// Names one connection of a process; never given out twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

impl ConnectionId {
    /// The first one.
    pub const FIRST: Self = Self(0);

    /// The one after this.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

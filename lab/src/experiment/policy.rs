//! The policies that an experiment compares.

/// How requests are routed and slots are filled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The decision cores of this project.
    Ours,
    /// The engine with the fewest requests, least recently used adapter out.
    LeastLoaded,
    /// The engine that the adapter hashes to, least recently used adapter out.
    Hash,
    /// Any engine, least recently used adapter out.
    Random,
}

impl Policy {
    /// Every policy, ours first.
    pub const ALL: [Self; 4] = [Self::Ours, Self::Hash, Self::LeastLoaded, Self::Random];

    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::LeastLoaded => "least-loaded+lru",
            Self::Hash => "hash+lru",
            Self::Random => "random+lru",
        }
    }
}

//! The policies that an experiment compares.

/// How requests are routed and how engines schedule loads and evictions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The routing and engine scheduling of this project.
    Tamaracklead,
    /// Routes to the live engine with the fewest requests; LRU eviction.
    LeastLoaded,
    /// Routes to the adapter's first live engine in rendezvous order; LRU eviction.
    Hash,
    /// Routes to a random live engine; LRU eviction.
    Random,
}

impl Policy {
    /// Every policy, the project's first and the hash baseline second.
    pub const ALL: [Self; 4] = [Self::Tamaracklead, Self::Hash, Self::LeastLoaded, Self::Random];

    /// Row label in the printed tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Tamaracklead => "ours",
            Self::LeastLoaded => "least-loaded+lru",
            Self::Hash => "hash+lru",
            Self::Random => "random+lru",
        }
    }
}

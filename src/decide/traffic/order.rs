//! Orders that a holder gives to a replica.

use std::fmt;

use super::AdapterKey;

/// One order to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load a base model or adapter.
    Load {
        /// What to load.
        key: AdapterKey,
        /// Version of the adapter; `None` means the newest.
        version: Option<u64>,
    },
    /// Unload an adapter.
    Unload {
        /// What to unload.
        key: AdapterKey,
    },
}

impl Order {
    /// What the order is about.
    pub fn key(&self) -> &AdapterKey {
        match self {
            Self::Load { key, .. } | Self::Unload { key } => key,
        }
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load { key, version: Some(version) } => {
                write!(f, "load {}@{version}", key.label())
            }
            Self::Load { key, version: None } => write!(f, "load {}", key.label()),
            Self::Unload { key } => write!(f, "unload {}", key.label()),
        }
    }
}

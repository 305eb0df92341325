//! Loads and unloads that a replica's owner orders.

use std::fmt;

use super::AdapterKey;

/// An order to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load a base model or adapter.
    Load {
        /// What to load.
        key: AdapterKey,
        /// Version of the adapter; `None` leaves it to the replica, which loads the newest.
        version: Option<u64>,
    },
    /// Unload an adapter.
    Unload {
        /// What to unload.
        key: AdapterKey,
    },
}

impl Order {
    /// What is to be loaded or unloaded.
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

//! Items of the published state and their changes.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// One item of the published state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedItem {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// Revision of its last change.
    pub rev: u64,
}

/// A change of the published state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishedEvent {
    /// An item was written.
    Written(PublishedItem),
    /// An item was removed.
    Removed {
        /// Its key.
        key: String,
        /// Revision of the removal.
        rev: u64,
    },
}

impl PublishedEvent {
    /// Revision of the change.
    pub fn rev(&self) -> u64 {
        match self {
            Self::Written(item) => item.rev,
            Self::Removed { rev, .. } => *rev,
        }
    }
}

//! Items of the published state, a key-value store with revisions, and changes of them.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// One item of the published state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedItem {
    /// Key within the topic.
    pub key: String,
    /// Encoded value.
    pub value: Bytes,
    /// Revision of its last change.
    pub rev: u64,
    /// Revision at which the store got it, after it had none of this key; 0 if that isn't known. Not
    /// passed on to other instances.
    #[serde(skip)]
    pub created: u64,
}

/// A change of the published state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishedEvent {
    /// An item was written.
    Written(PublishedItem),
    /// An item was removed.
    Removed {
        /// Key of the item.
        key: String,
        /// Revision of the removal.
        rev: u64,
    },
}

impl PublishedEvent {
    /// Key of the item.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Revision of the change.
    pub fn rev(&self) -> u64 {
        match self {
            Self::Written(item) => item.rev,
            Self::Removed { rev, .. } => *rev,
        }
    }
}

//! Change of the published entries of replicas.

use super::ReplicaEntry;
use crate::names::BackendName;

/// A change of the replicas' entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// An entry was written.
    Written {
        /// The entry.
        entry: ReplicaEntry,
        /// Revision since which the store has had an entry of this replica; 0 if that isn't known.
        created: u64,
    },
    /// The entry of a replica was removed.
    Removed(BackendName),
}

//! Change of the published entries of replicas.

use super::ReplicaEntry;
use crate::names::BackendName;

/// A change of the replicas' entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// An entry was written.
    Written(ReplicaEntry),
    /// The entry of a replica was removed.
    Removed(BackendName),
}

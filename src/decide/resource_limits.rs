//! What a process may use for others, from the resources that its machine gives it.

/// Part of the memory that buffers of bodies may take, as its inverse.
const BUFFER_SHARE: usize = 4;
/// Part of the memory that callers' connections may take, as its inverse.
const CONNECTION_SHARE: usize = 4;
/// Memory that one connection takes at most, besides the bodies that arrive on it.
const CONNECTION_BYTES: usize = 48 * 1024;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the other descriptors that callers' connections may take, as its inverse; the rest is for
/// peers, replicas and the store.
const CALLER_SHARE: usize = 2;
/// Memory that is assumed where the settings name none.
const DEFAULT_MEMORY_BYTES: usize = 256 * 1024 * 1024;
/// Descriptors that are assumed where the settings name none; common as the limit of a process.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Part of the other descriptors that connections of other instances may take, as its inverse.
const PEER_SHARE: usize = 4;
/// Fewest connections of a kind that are accepted at a time, whatever the resources.
const MIN_CONNECTIONS: usize = 16;

/// Memory and descriptors that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    memory_bytes: usize,
    descriptors: usize,
}

impl ResourceLimits {
    /// Resources as the settings name them; where they don't, those of a small machine.
    pub fn new(memory_bytes: Option<usize>, descriptors: Option<usize>) -> Self {
        Self {
            memory_bytes: memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES),
            descriptors: descriptors.unwrap_or(DEFAULT_DESCRIPTORS),
        }
    }

    /// Bytes that all buffers of bodies may take together.
    pub fn buffer_bytes(self) -> usize {
        self.memory_bytes / BUFFER_SHARE
    }

    /// Connections of callers that may be open at a time.
    pub fn caller_connections(self) -> usize {
        let by_memory = self.memory_bytes / CONNECTION_SHARE / CONNECTION_BYTES;
        let by_descriptors = self.descriptors.saturating_sub(FILE_DESCRIPTORS) / CALLER_SHARE;
        by_memory.min(by_descriptors).max(MIN_CONNECTIONS)
    }

    /// Connections of other instances that may be open at a time.
    pub fn peer_connections(self) -> usize {
        (self.descriptors.saturating_sub(FILE_DESCRIPTORS) / PEER_SHARE).max(MIN_CONNECTIONS)
    }

    /// Connections that may be open at a time for readiness checks, and as many for scrapes of metrics.
    pub fn check_connections(self) -> usize {
        MIN_CONNECTIONS
    }
}

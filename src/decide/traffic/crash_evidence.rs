//! What instances tell each other of crashed replicas and of the prompt parts that they had.

use serde::Deserialize;
use serde::Serialize;

/// A replica crashed while a request with this prompt part was there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Id of the prompt part.
    pub part: u64,
    /// Position of the part in its prompt, 0 for the first one.
    pub position: u32,
    /// Identifies the crash, the same at all instances.
    pub crash: u64,
    /// Whether the replica had just begun to respond; else the request was still waiting there.
    pub begun: bool,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

//! What instances tell each other of prompt parts that don't crash replicas.

use serde::Deserialize;
use serde::Serialize;

/// A replica went on after it had begun to respond to a request with this prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundPart {
    /// Id of the prompt part.
    pub part: u64,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
}

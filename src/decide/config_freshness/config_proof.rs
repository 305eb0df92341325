//! Proof of freshness that one instance gives another.

use serde::Deserialize;
use serde::Serialize;

/// The sender's configuration was the newest one `age_ms` ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProof {
    /// Version of the sender's configuration.
    pub version: u64,
    /// Time since the store was asked for it, in ms.
    pub age_ms: u64,
}

//! Identity of a request across re-sends.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::names::AdapterRef;

/// Hash of adapter, version, prompt and `max_tokens`: equal for a request that is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Hashes what makes two requests the same.
    pub fn of(adapter: &AdapterRef, prompt: &str, max_tokens: u32) -> Self {
        let name = adapter.adapter.as_str();
        let mut hash = Sha256::new();
        hash.update((name.len() as u64).to_be_bytes());
        hash.update(name);
        hash.update(adapter.version.0.to_be_bytes());
        hash.update(max_tokens.to_be_bytes());
        hash.update(prompt);
        let digest = hash.finalize();
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(half))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

//! Digest by which an API key is stored and compared.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;

/// SHA-256 of an API key; the key itself isn't kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Hashes a key, byte for byte.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    /// Shows no byte, as a short key could be found from its digest.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

//! Hash that tells whether a ticket comes with the same body again.

use sha2::Digest;
use sha2::Sha256;

/// SHA-256 of the body that a ticket was first used with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BodyHash([u8; 32]);

impl BodyHash {
    /// Hashes a body, byte for byte.
    pub fn of(body: &[u8]) -> Self {
        Self(Sha256::digest(body).into())
    }
}

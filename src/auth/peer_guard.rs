//! Checks the signatures of other entry instances.

use std::sync::Mutex;
use std::sync::PoisonError;

use hmac::Mac;

use super::PeerSignature;
use super::SignedAnswer;
use super::SignedRequest;
use crate::decide::replay_window::ReplayWindow;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::WallTime;
use crate::settings::Key;

/// Parts of the nonce memory, each under its own lock.
const SHARDS: usize = 8;

/// Nonces that one shard remembers; all shards hold half a minute of 2,000 messages a second.
const SHARD_CAPACITY: usize = 8192;

/// Checks requests of other entry instances.
#[derive(Debug)]
pub struct PeerGuard {
    key: Key,
    shards: [Mutex<ReplayWindow>; SHARDS],
}

impl PeerGuard {
    /// Checks with the fleet's key, on an instance that started at `started`.
    pub fn new(key: Key, started: WallTime) -> Self {
        let shards =
            std::array::from_fn(|_| Mutex::new(ReplayWindow::new(started, SHARD_CAPACITY)));
        Self { key, shards }
    }

    /// Signs the answer to a request that was admitted.
    pub fn sign_answer(&self, answer: &SignedAnswer<'_>) -> String {
        answer.sign(&self.key)
    }

    /// Checks a request that came with this signature header; gives the signature.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` if the signature is missing, doesn't hold, or its
    /// message is too old, too far ahead or known; `Overloaded` if too many
    /// messages came lately.
    pub fn verify(
        &self,
        now: WallTime,
        header: Option<&str>,
        request: &SignedRequest<'_>,
    ) -> Result<PeerSignature> {
        let header = header.ok_or_else(|| refused("peer signature is missing"))?;
        let signature: PeerSignature = header.parse()?;
        request
            .mac(&self.key, &signature.sender, signature.sent, signature.nonce)
            .verify_slice(&signature.mac)
            .map_err(|_| refused("peer signature does not hold"))?;
        let shard = &self.shards[(signature.nonce.0 % SHARDS as u128) as usize];
        let mut window = shard.lock().unwrap_or_else(PoisonError::into_inner);
        window.admit(now, signature.sent, signature.nonce)?;
        Ok(signature)
    }
}

fn refused(detail: &str) -> Error {
    Error::new(ErrorKind::Unauthenticated, detail)
}

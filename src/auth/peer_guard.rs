//! Authenticates requests of other entry instances and rejects replayed ones.

use std::sync::Mutex;
use std::sync::PoisonError;

use hmac::Mac;

use super::PeerSignature;
use super::SignedRequest;
use super::SignedResponse;
use crate::decide::replay_window::ReplayWindow;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::WallTime;
use crate::settings::Key;

/// Shards of the nonces seen, each with its own lock.
const NONCE_SHARDS: usize = 8;

/// Nonces that one shard holds; all shards together hold 30 s of 2,000 messages a second.
const NONCES_PER_SHARD: usize = 8192;

/// Checks the signatures of peer requests and signs the responses to them.
#[derive(Debug)]
pub struct PeerGuard {
    key: Key,
    shards: [Mutex<ReplayWindow>; NONCE_SHARDS],
}

impl PeerGuard {
    /// Checks with the fleet's shared key; messages sent before `started` are refused.
    pub fn new(key: Key, started: WallTime) -> Self {
        let shards =
            std::array::from_fn(|_| Mutex::new(ReplayWindow::new(started, NONCES_PER_SHARD)));
        Self { key, shards }
    }

    /// Signs the response to an admitted request; returns the value of the response header.
    pub fn sign_response(&self, response: &SignedResponse<'_>) -> String {
        response.sign(&self.key)
    }

    /// Checks a request against its signature header and returns the parsed signature.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` if the signature is missing or wrong, or if the message is too
    /// old, too far in the future or a replay; `Overloaded` if the nonces of recent
    /// messages fill the shard.
    pub fn verify(
        &self,
        now: WallTime,
        header: Option<&str>,
        request: &SignedRequest<'_>,
    ) -> Result<PeerSignature> {
        let header = header.ok_or_else(|| unauthenticated("peer signature is missing"))?;
        let signature: PeerSignature = header.parse()?;
        request
            .mac(&self.key, &signature.sender, signature.sent, signature.nonce)
            .verify_slice(&signature.mac)
            .map_err(|_| unauthenticated("peer signature does not hold"))?;
        let shard = &self.shards[(signature.nonce.0 % NONCE_SHARDS as u128) as usize];
        let mut window = shard.lock().unwrap_or_else(PoisonError::into_inner);
        window.admit(now, signature.sent, signature.nonce)?;
        Ok(signature)
    }
}

fn unauthenticated(detail: &str) -> Error {
    Error::new(ErrorKind::Unauthenticated, detail)
}

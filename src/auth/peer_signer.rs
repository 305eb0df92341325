//! Signs requests to other entry instances.

use hmac::Mac;

use super::PeerSignature;
use super::SignedRequest;
use super::SignedResponse;
use crate::decide::replay_window::Nonce;
use crate::error::Result;
use crate::names::InstanceName;
use crate::names::WallTime;
use crate::settings::Key;

/// Signs the requests of this entry instance and checks the responses to them.
#[derive(Clone, Debug)]
pub struct PeerSigner {
    key: Key,
    sender: InstanceName,
}

impl PeerSigner {
    /// Signs as `sender` with the fleet's shared key.
    pub fn new(key: Key, sender: InstanceName) -> Self {
        Self { key, sender }
    }

    /// Checks a response against its signature header.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` if the signature is missing or wrong.
    pub fn verify_response(
        &self,
        response: &SignedResponse<'_>,
        header: Option<&str>,
    ) -> Result<()> {
        response.verify(&self.key, header)
    }

    /// Signs one request; its `Display` is the value of the signature header.
    pub fn sign(&self, now: WallTime, nonce: Nonce, request: &SignedRequest<'_>) -> PeerSignature {
        let mac = request.mac(&self.key, &self.sender, now, nonce);
        PeerSignature {
            sender: self.sender.clone(),
            sent: now,
            nonce,
            mac: mac.finalize().into_bytes().into(),
        }
    }
}

//! The parts of a peer request that its signature covers.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use crate::decide::replay_window::Nonce;
use crate::names::InstanceName;
use crate::names::WallTime;
use crate::settings::Key;

/// Keeps these signatures apart from other uses of the same key.
const DOMAIN_SEPARATOR: &str = "tamaracklead peer request 1";

/// One request between entry instances.
#[derive(Clone, Copy, Debug)]
pub struct SignedRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Instance that the request is sent to; another one refuses it.
    pub receiver: &'a InstanceName,
    /// Whole body.
    pub body: &'a [u8],
}

impl SignedRequest<'_> {
    /// HMAC over the request; each field is prefixed by its length, so that fields can't run
    /// together.
    pub(super) fn mac(
        &self,
        key: &Key,
        sender: &InstanceName,
        sent: WallTime,
        nonce: Nonce,
    ) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes any key length");
        let sent = sent.0.to_be_bytes();
        let nonce = nonce.0.to_be_bytes();
        let fields: [&[u8]; 8] = [
            DOMAIN_SEPARATOR.as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            self.receiver.as_str().as_bytes(),
            sender.as_str().as_bytes(),
            &sent,
            &nonce,
            self.body,
        ];
        for field in fields {
            mac.update(&(field.len() as u64).to_be_bytes());
            mac.update(field);
        }
        mac
    }
}

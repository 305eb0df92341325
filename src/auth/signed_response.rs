//! The parts of a peer response that its signature covers.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use super::PeerSignature;
use super::hex;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::settings::Key;

/// Name of the header that carries a response's signature.
pub const RESPONSE_SIGNATURE_HEADER: &str = "peer-answer";

/// Keeps these signatures apart from other uses of the same key.
const DOMAIN_SEPARATOR: &str = "tamaracklead peer answer 1";

/// One response between entry instances.
///
/// Its signature covers that of the request, so it doesn't fit the response to another request.
#[derive(Clone, Copy, Debug)]
pub struct SignedResponse<'a> {
    /// Signature of the request that the response belongs to.
    pub request_signature: &'a PeerSignature,
    /// HTTP status code.
    pub status: u16,
    /// Whole body; `None` for a stream, whose signature covers the head only.
    pub body: Option<&'a [u8]>,
}

impl SignedResponse<'_> {
    /// Signs the response; returns the value of the header.
    pub fn sign(&self, key: &Key) -> String {
        hex::encode(&self.mac(key).finalize().into_bytes())
    }

    /// Checks a response's signature header.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` if the signature is missing or wrong.
    pub fn verify(&self, key: &Key, header: Option<&str>) -> Result<()> {
        let unauthenticated =
            || Error::new(ErrorKind::Unauthenticated, "response signature does not hold");
        let mac = header.and_then(hex::decode).ok_or_else(unauthenticated)?;
        self.mac(key).verify_slice(&mac).map_err(|_| unauthenticated())
    }

    fn mac(&self, key: &Key) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes any key length");
        mac.update(DOMAIN_SEPARATOR.as_bytes());
        mac.update(&self.request_signature.mac);
        mac.update(&self.status.to_be_bytes());
        mac.update(&[u8::from(self.body.is_some())]);
        mac.update(self.body.unwrap_or_default());
        mac
    }
}

//! The parts of an answer that its signature covers.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use super::PeerSignature;
use super::hex;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::settings::Key;

/// Name of the header that carries an answer's signature.
pub const ANSWER_HEADER: &str = "peer-answer";

/// Keeps these signatures apart from other uses of the same key.
const CONTEXT: &str = "tamaracklead peer answer 1";

/// One answer between entry instances.
///
/// It is bound to the signature of the request, so it can't be used for another.
#[derive(Clone, Copy, Debug)]
pub struct SignedAnswer<'a> {
    /// Signature of the request that is answered.
    pub request: &'a PeerSignature,
    /// HTTP status code.
    pub status: u16,
    /// Whole body; `None` for a stream, of which only the begin is signed.
    pub body: Option<&'a [u8]>,
}

impl SignedAnswer<'_> {
    /// Signs the answer; the result is the value of the header.
    pub fn sign(&self, key: &Key) -> String {
        hex::encode(&self.mac(key).finalize().into_bytes())
    }

    /// Checks the header of an answer.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` if the signature is missing or doesn't hold.
    pub fn verify(&self, key: &Key, header: Option<&str>) -> Result<()> {
        let refused = || Error::new(ErrorKind::Unauthenticated, "answer's signature does not hold");
        let mac = header.and_then(hex::decode).ok_or_else(refused)?;
        self.mac(key).verify_slice(&mac).map_err(|_| refused())
    }

    fn mac(&self, key: &Key) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes any key length");
        mac.update(CONTEXT.as_bytes());
        mac.update(&self.request.mac);
        mac.update(&self.status.to_be_bytes());
        mac.update(&[u8::from(self.body.is_some())]);
        mac.update(self.body.unwrap_or_default());
        mac
    }
}

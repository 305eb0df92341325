//! Bearer keys in `Authorization` headers: parsing and constant-time comparison.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::settings::Key;

const SCHEME: &str = "bearer";
/// HMAC key of the digests that are compared.
const DOMAIN_SEPARATOR: &[u8] = b"tamaracklead bearer 1";

/// Extracts the key from an `Authorization: Bearer KEY` header.
///
/// # Errors
///
/// `Unauthenticated` if the header is missing or of another scheme.
pub(super) fn key_from_header(header: Option<&str>) -> Result<&str> {
    let header = header.ok_or_else(|| unauthenticated("bearer key is missing"))?;
    match header.trim().split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case(SCHEME) => Ok(key.trim_start()),
        _ => Err(unauthenticated("authorization scheme is not bearer")),
    }
}

/// Compares keys by their HMAC digests, in constant time whatever their lengths.
pub(super) fn is_same_key(presented: &str, key: &Key) -> bool {
    let expected = digest(key.as_bytes()).finalize().into_bytes();
    digest(presented.as_bytes()).verify_slice(&expected).is_ok()
}

pub(super) fn unauthenticated(detail: &str) -> Error {
    Error::new(ErrorKind::Unauthenticated, detail)
}

fn digest(key: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(DOMAIN_SEPARATOR).expect("HMAC takes any key length");
    mac.update(key);
    mac
}

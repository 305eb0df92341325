//! Bearer keys in `Authorization` headers.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::settings::Key;

const SCHEME: &str = "bearer";
const CONTEXT: &[u8] = b"tamaracklead bearer 1";

/// The key of an `Authorization: Bearer KEY` header.
///
/// # Errors
///
/// `Unauthenticated` if the header is missing or of another scheme.
pub(super) fn parse(header: Option<&str>) -> Result<&str> {
    let header = header.ok_or_else(|| refused("bearer key is missing"))?;
    match header.trim().split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case(SCHEME) => Ok(key.trim_start()),
        _ => Err(refused("authorization is not by bearer key")),
    }
}

/// Compares keys by their digests, in constant time whatever their lengths.
pub(super) fn matches(offered: &str, key: &Key) -> bool {
    let expected = digest(key.as_bytes()).finalize().into_bytes();
    digest(offered.as_bytes()).verify_slice(&expected).is_ok()
}

/// The refusal of a bearer key.
pub(super) fn refused(detail: &str) -> Error {
    Error::new(ErrorKind::Unauthenticated, detail)
}

fn digest(text: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(CONTEXT).expect("HMAC takes any key length");
    mac.update(text);
    mac
}

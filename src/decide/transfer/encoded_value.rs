//! An encoded value.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::EncodingId;

/// An encoded value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedValue {
    /// Its identity.
    pub id: EncodingId,
    /// Its content.
    pub bytes: Bytes,
}

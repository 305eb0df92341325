//! Identity of an encoded value.

use serde::Deserialize;
use serde::Serialize;

use super::ValueId;

/// Identity of one encoding of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EncodingId {
    /// Value from which it is the difference; `None` if it stands for itself.
    pub base: Option<ValueId>,
    /// Its size, in bytes.
    pub size: u32,
    /// Hash of its content (XXH3, 64 bits).
    pub hash: u64,
}

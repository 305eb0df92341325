//! Identity of a value.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;

/// Hash of a value's content (XXH3, 128 bits).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ValueId(u64, u64);

impl ValueId {
    /// Identity of these bytes.
    pub fn of(value: &[u8]) -> Self {
        let hash = xxh3_128(value);
        Self((hash >> 64) as u64, hash as u64)
    }
}

impl fmt::Display for ValueId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

//! Reference to a value that is sent in pieces.

use serde::Deserialize;
use serde::Serialize;

use super::ValueId;

/// Size from which on a value is sent in pieces, in bytes.
pub const LARGE_VALUE_BYTES: usize = 8 * 1024;
/// Largest value that is sent in pieces, in bytes.
pub const MAX_VALUE_BYTES: usize = 8 * 1024 * 1024;

/// A value that is sent in pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LargeValue {
    /// Its identity.
    pub id: ValueId,
    /// Its size, in bytes.
    pub size: u32,
}

impl LargeValue {
    /// Reference to these bytes; `None` if they are sent as they are.
    pub fn of(value: &[u8]) -> Option<Self> {
        if !(LARGE_VALUE_BYTES..=MAX_VALUE_BYTES).contains(&value.len()) {
            return None;
        }
        Some(Self { id: ValueId::of(value), size: u32::try_from(value.len()).ok()? })
    }
}

//! A large value that a message refers to.

use serde::Deserialize;
use serde::Serialize;

use super::EncodedValue;
use super::LargeValue;

/// A large value that a message refers to instead of containing it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueReference {
    /// Key of the item whose value it is.
    pub key: String,
    /// The value.
    pub value: LargeValue,
    /// The value itself, encoded, if that is short.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub encoded: Option<EncodedValue>,
}

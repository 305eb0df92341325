//! The API key of a request, as its headers name it.

use super::KeyDigest;

/// What a request says of its caller's API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// It names no key.
    Absent,
    /// It names the key with this digest.
    Key(KeyDigest),
    /// It names something that can't be a key, or several.
    Invalid,
}

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

impl Credential {
    /// Its form, as log lines name it.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Absent => "absent",
            Self::Key(_) => "key",
            Self::Invalid => "invalid",
        }
    }
}

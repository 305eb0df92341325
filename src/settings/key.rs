//! Key material for signatures and bearer keys.

use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use serde::Deserialize;

/// Shortest key accepted; shorter ones can be guessed.
pub const MIN_KEY_BYTES: usize = 16;

/// Secret bytes of a key; `Debug` hides them, and there is no serialised form.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Arc<[u8]>);

/// Source of a key in the settings.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(super) enum KeySource {
    /// File that holds the key; newlines at its end are dropped.
    File(PathBuf),
    /// The key, inline.
    Value(String),
}

impl Key {
    /// A key of these bytes, of any length.
    pub fn new(bytes: &[u8]) -> Self {
        Self(Arc::from(bytes))
    }

    /// The secret bytes, for signing and comparing.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Reads a key file; newlines at its end are dropped.
    ///
    /// # Errors
    ///
    /// Why the key is refused; a file that can't be read is named.
    pub fn from_file(path: &Path) -> Result<Self, String> {
        let text = fs::read_to_string(path)
            .map_err(|e| format!("key file {} can't be read: {e}", path.display()))?;
        Self::from_text(&text)
    }

    pub(super) fn from_source(source: KeySource, base: &Path) -> Result<Self, String> {
        let text = match source {
            KeySource::Value(text) => text,
            KeySource::File(path) => return Self::from_file(&base.join(&path)),
        };
        Self::from_text(&text)
    }

    fn from_text(text: &str) -> Result<Self, String> {
        let text = text.trim_end_matches(['\r', '\n']);
        if text.len() < MIN_KEY_BYTES {
            return Err(format!("key of {} bytes, needs {MIN_KEY_BYTES} or more", text.len()));
        }
        Ok(Self::new(text.as_bytes()))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

//! Key material.

use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use serde::Deserialize;

/// Fewest bytes of a key; shorter ones can be guessed.
pub const MIN_KEY_BYTES: usize = 16;

/// Key material; never shown by `Debug` and never serialised.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Arc<[u8]>);

/// Where a key comes from.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(super) enum KeySource {
    /// A file whose content is the key, without the newline at its end.
    File(PathBuf),
    /// The key itself.
    Value(String),
}

impl Key {
    /// Makes a key from its bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(Arc::from(bytes))
    }

    /// The key's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Reads a key file, without the newline at its end.
    ///
    /// # Errors
    ///
    /// What is wrong with the file, naming it.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = fs::read_to_string(path)
            .map_err(|e| format!("key file {} can't be read: {e}", path.display()))?;
        Self::from_text(&text)
    }

    pub(super) fn from_source(source: KeySource, base: &Path) -> Result<Self, String> {
        let text = match source {
            KeySource::Value(text) => text,
            KeySource::File(path) => return Self::read(&base.join(&path)),
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

//! Identifiers of streams, short enough for many messages.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of the id of the attempt that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The key of the stream that the attempt `id` began.
    pub fn new(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }

    /// The key as text, under which instances are ranked for the stream.
    pub fn label(self) -> String {
        format!("stream {:016x}", self.0)
    }
}

//! How the software version of a stream is known.

use prometheus_client::encoding::EncodeLabelValue;
use serde::Serialize;

/// How the software version is known at which a stream that a caller takes up began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, EncodeLabelValue)]
#[serde(rename_all = "snake_case")]
pub enum VersionSource {
    /// This instance knew it.
    Own,
    /// Another instance knew it.
    Peer,
    /// It is the only one that could have begun the stream.
    SoleVersion,
    /// A replica's KV cache shows it.
    PromptCache,
    /// It isn't known.
    Unknown,
}

//! Why the process closes a caller's connection by itself, for metrics.

use prometheus_client::encoding::EncodeLabelValue;
use serde::Serialize;

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, EncodeLabelValue)]
#[serde(rename_all = "snake_case")]
pub enum ConnectionEnd {
    /// It was closed for a new one, as all places were taken.
    Evicted,
    /// It came when all places were taken by connections on which a response is awaited.
    NoPlace,
    /// The head of its request didn't end in time.
    LateHead,
    /// Its caller took nothing of a response.
    Unread,
}

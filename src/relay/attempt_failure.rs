//! Why attempts fail, for logs and metrics.

use prometheus_client::encoding::EncodeLabelValue;
use serde::Serialize;

/// Why an attempt got no response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, EncodeLabelValue)]
#[serde(rename_all = "snake_case")]
pub enum AttemptFailure {
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// The connection ended before a response arrived.
    NoAnswer,
    /// The replica proved that it didn't run the request.
    Refused,
    /// The replica refused the request without proof that it didn't run.
    UnprovenRefusal,
    /// The response isn't this request's or isn't the replica's own.
    Foreign,
    /// The body of the response broke off or was too large.
    BrokenOff,
    /// This process had no room for the body of the response.
    OutOfRoom,
    /// The replica sent nothing for too long.
    Silent,
}

impl AttemptFailure {
    /// Every kind of failure.
    pub const ALL: [Self; 8] = [
        Self::Unreachable,
        Self::NoAnswer,
        Self::Refused,
        Self::UnprovenRefusal,
        Self::Foreign,
        Self::BrokenOff,
        Self::OutOfRoom,
        Self::Silent,
    ];
}

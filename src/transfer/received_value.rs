//! A value that was received.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

/// A value that was received, and what that took.
#[derive(Clone, Debug)]
pub struct ReceivedValue {
    /// The value.
    pub bytes: Bytes,
    /// Size of its encoding, in bytes; 0 if it was here already.
    pub encoded_bytes: usize,
    /// Whether that was the difference from a former value.
    pub is_difference: bool,
    /// Instance that sent the last piece.
    pub from: SocketAddr,
    /// Time since the first ask.
    pub took: Duration,
}

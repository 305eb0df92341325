//! What became of the pieces that one instance was asked for.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::transfer::LargeValue;

/// How the asks of one instance ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TryEnd {
    /// It has sent pieces.
    Served,
    /// It serves others first.
    Busy,
    /// It doesn't have the value.
    Unknown,
    /// An ask failed.
    Failed(String),
}

impl fmt::Display for TryEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Served => f.write_str("served"),
            Self::Busy => f.write_str("busy"),
            Self::Unknown => f.write_str("unknown"),
            Self::Failed(detail) => write!(f, "failed: {detail}"),
        }
    }
}

/// Asks of one instance for pieces of a value, one after the other.
#[derive(Clone, Debug)]
pub struct TransferTry {
    /// The value.
    pub value: LargeValue,
    /// The instance.
    pub from: SocketAddr,
    /// Bytes of pieces that it sent.
    pub bytes: usize,
    /// Time since the first of these asks.
    pub took: Duration,
    /// How they ended.
    pub end: TryEnd,
}

//! Messages by which instances send each other large values of the published state in pieces.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::decide::transfer::EncodingId;
use crate::decide::transfer::LargeValue;
use crate::decide::transfer::ValueId;

/// Path of [`PieceRequest`]; older processes answer that they don't know it.
pub const PIECE_PATH: &str = "/relay/v1/value-piece";

/// Asks for a piece of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceRequest {
    /// Address on which the sender listens for peers.
    pub from: SocketAddr,
    /// The value.
    pub value: LargeValue,
    /// Value that the sender has, from which the difference may be made.
    pub base: Option<ValueId>,
    /// Encoding of which the sender has the first `offset` bytes; `None` if it has nothing.
    pub encoding: Option<EncodingId>,
    /// Where the piece begins, in bytes.
    pub offset: u32,
    /// Most bytes that it may have.
    pub max_bytes: u32,
    /// Whether the sender knows nobody else who could serve it for a while.
    pub is_urgent: bool,
}

/// Reply to a [`PieceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceReply {
    /// A piece of the value.
    Piece {
        /// The encoding that it is part of; another one than asked for if that isn't known.
        encoding: EncodingId,
        /// Where it begins, in bytes.
        offset: u32,
        /// Its content.
        bytes: Bytes,
    },
    /// Others are served first.
    Busy {
        /// Time after which the receiver may ask again, in ms.
        retry_in_ms: u64,
        /// Instances that have the value.
        holders: Vec<SocketAddr>,
    },
    /// The value isn't there.
    Unknown,
}

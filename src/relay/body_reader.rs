//! Reads bodies to their end, within the budget of the process.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::buffers::Buffer;
use super::buffers::Buffers;
use super::buffers::OutOfRoom;
use crate::decide::buffers::BufferKind;
use crate::edge::MeteredBody;

/// Why there is no whole body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFailure {
    /// It has more bytes than allowed.
    TooLarge,
    /// It broke off, or isn't framed as the protocol says.
    Broken,
    /// The process has no room for it.
    OutOfRoom,
}

impl From<OutOfRoom> for BodyFailure {
    fn from(_: OutOfRoom) -> Self {
        Self::OutOfRoom
    }
}

/// Reads a body of at most `max` bytes. What it takes is at most twice what has arrived, whatever its
/// pieces: a piece may be a byte that keeps the whole read buffer of its connection.
///
/// # Errors
///
/// Why there is no whole body.
pub async fn read(
    mut source: MeteredBody,
    kind: BufferKind,
    max: usize,
    buffers: &Arc<Buffers>,
) -> Result<Bytes, BodyFailure> {
    if source.is_end_stream() {
        return Ok(Bytes::new());
    }
    let longest = source.size_hint().upper().map_or(max, |bytes| max.min(bytes as usize));
    let mut buffer = Buffer::open(buffers, kind);
    loop {
        let frame = tokio::select! {
            frame = source.frame() => frame,
            () = buffer.until_evicted() => return Err(BodyFailure::OutOfRoom),
        };
        let Some(frame) = frame else { return Ok(buffer.into_whole()?) };
        let Ok(data) = frame.map_err(|_| BodyFailure::Broken)?.into_data() else { continue };
        if buffer.len() + data.len() > max {
            return Err(BodyFailure::TooLarge);
        }
        buffer.append(&data, longest).await?;
    }
}

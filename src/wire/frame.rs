//! MessagePack encoding, and length-prefixed frames for streams of messages.
//!
//! A frame is the length of the message (u32, big-endian), then the message.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;

/// Largest message that a frame may hold, in bytes, when sent and when received.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// Encodes a message without a length prefix.
///
/// # Errors
///
/// `Internal` if the message can't be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    rmp_serde::to_vec_named(message)
        .map(Bytes::from)
        .map_err(|e| Error::new(ErrorKind::Internal, format!("message can't be encoded: {e}")))
}

/// Decodes a message without a length prefix.
///
/// # Errors
///
/// `Malformed` if the bytes don't encode a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes).map_err(|e| {
        Error::new(ErrorKind::Malformed, format!("peer message can't be decoded: {e}"))
    })
}

/// Encodes a message with its length prefix.
///
/// # Errors
///
/// `Internal` if the message can't be encoded or exceeds [`MAX_FRAME_BYTES`].
pub fn encode_frame<T: Serialize>(message: &T) -> Result<Bytes> {
    let body = encode(message)?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(Error::new(
            ErrorKind::Internal,
            format!("frame of {} bytes exceeds the limit", body.len()),
        ));
    }
    let mut buf = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    buf.put_u32(body.len() as u32);
    buf.put(body);
    Ok(buf.freeze())
}

/// Incremental decoder that splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buf: BytesMut,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next message; `None` until the whole frame has been pushed.
    ///
    /// # Errors
    ///
    /// `Malformed` if the frame is too long or doesn't encode a `T`.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        if self.buf.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let len = (&self.buf[..LENGTH_BYTES]).get_u32() as usize;
        if len > MAX_FRAME_BYTES {
            return Err(Error::new(
                ErrorKind::Malformed,
                format!("frame of {len} bytes exceeds the limit"),
            ));
        }
        if self.buf.len() < LENGTH_BYTES + len {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        let body = self.buf.split_to(len);
        decode(&body).map(Some)
    }
}

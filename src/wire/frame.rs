//! Frames of MessagePack on a byte stream: a length (u32, big-endian), then the message.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;

/// Largest frame that a peer may send, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;

/// Encodes one message without a length.
///
/// # Errors
///
/// `Internal` if the message can't be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    rmp_serde::to_vec_named(message)
        .map(Bytes::from)
        .map_err(|e| Error::new(ErrorKind::Internal, format!("message can't be encoded: {e}")))
}

/// Decodes one message without a length.
///
/// # Errors
///
/// `Malformed` if the bytes aren't such a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes)
        .map_err(|e| Error::new(ErrorKind::Malformed, format!("peer message: {e}")))
}

/// Encodes one message behind its length.
///
/// # Errors
///
/// `Internal` if the message can't be encoded or exceeds [`MAX_FRAME_BYTES`].
pub fn encode_frame<T: Serialize>(message: &T) -> Result<Bytes> {
    let body = encode(message)?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(Error::new(ErrorKind::Internal, format!("frame of {} bytes", body.len())));
    }
    let mut buf = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    buf.put_u32(body.len() as u32);
    buf.put(body);
    Ok(buf.freeze())
}

/// Cuts a byte stream into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buf: BytesMut,
}

impl FrameDecoder {
    /// Takes more bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole message, if one has arrived.
    ///
    /// # Errors
    ///
    /// `Malformed` if the frame is too long or isn't such a message.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        if self.buf.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let len = (&self.buf[..LENGTH_BYTES]).get_u32() as usize;
        if len > MAX_FRAME_BYTES {
            return Err(Error::new(ErrorKind::Malformed, format!("frame of {len} bytes")));
        }
        if self.buf.len() < LENGTH_BYTES + len {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        let body = self.buf.split_to(len);
        decode(&body).map(Some)
    }
}

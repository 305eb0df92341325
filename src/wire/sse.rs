//! Encoding and decoding of server-sent events whose data is JSON.

use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;

/// Largest event that the decoder accepts, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Encodes one event; `name` is the event's type, `None` for an event without a type.
///
/// # Errors
///
/// `Internal` if the data can't be encoded.
pub fn encode_event<T: Serialize>(name: Option<&str>, data: &T) -> Result<Bytes> {
    let json = serde_json::to_string(data)
        .map_err(|e| Error::new(ErrorKind::Internal, format!("event can't be encoded: {e}")))?;
    let text = match name {
        Some(name) => format!("event: {name}\ndata: {json}\n\n"),
        None => format!("data: {json}\n\n"),
    };
    Ok(Bytes::from(text))
}

/// A decoded event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Type of the event; empty if it has none.
    pub name: String,
    /// Data lines, concatenated without a separator.
    pub data: String,
}

impl Event {
    /// Parses the data as JSON.
    ///
    /// # Errors
    ///
    /// `Malformed` if the data doesn't encode a `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_str(&self.data)
            .map_err(|e| Error::new(ErrorKind::Malformed, format!("event data: {e}")))
    }
}

/// Incremental decoder that splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buf: BytesMut,
    /// Bytes of the buffer that hold no end of an event.
    searched: usize,
}

impl EventDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next event; `None` until its last byte has been pushed.
    ///
    /// # Errors
    ///
    /// `Malformed` if the event is too long or isn't UTF-8.
    pub fn next_event(&mut self) -> Result<Option<Event>> {
        let from = self.searched.saturating_sub(1);
        let Some(end) = self.buf[from..].windows(2).position(|pair| pair == b"\n\n") else {
            self.searched = self.buf.len();
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(Error::new(ErrorKind::Malformed, "event exceeds one megabyte"));
            }
            return Ok(None);
        };
        self.searched = 0;
        let raw = self.buf.split_to(from + end + 2);
        let text = std::str::from_utf8(&raw)
            .map_err(|_| Error::new(ErrorKind::Malformed, "event is not UTF-8"))?;
        Ok(Some(Self::parse_lines(text)))
    }

    fn parse_lines(text: &str) -> Event {
        let mut event = Event::default();
        for line in text.lines() {
            if let Some(name) = line.strip_prefix("event:") {
                event.name = name.trim_start().to_owned();
            }
            if let Some(data) = line.strip_prefix("data:") {
                event.data.push_str(data.strip_prefix(' ').unwrap_or(data));
            }
        }
        event
    }
}

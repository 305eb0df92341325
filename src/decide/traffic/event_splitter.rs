//! Cuts an event stream into whole events.
//!
//! Only whole events are passed on, so that a stream that broke off in the middle
//! of one can go on at another replica after the last whole event.

use bytes::Bytes;
use bytes::BytesMut;

/// Longest event that is waited for, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The bytes of one stream that are not passed on yet.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// A stream that goes on after the event `last_id`.
    pub fn new(last_id: Option<String>) -> Self {
        Self { buf: BytesMut::new(), last_id }
    }

    /// Takes bytes and returns the whole events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buf.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buf) else { return Bytes::new() };
        let whole = self.buf.split_to(end).freeze();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether bytes of an unfinished event are held.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Whether the unfinished event is longer than any should be.
    pub fn is_overlong(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Forgets the unfinished event, for another replica to send it again.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }
}

fn last_event_end(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = buf.windows(4).rposition(|quad| quad == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let id = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    let text = String::from_utf8_lossy(id);
    Some(text.trim().to_owned())
}

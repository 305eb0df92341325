//! Splits a stream of server-sent events into whole events.
//!
//! Only whole events are forwarded, so that a stream that breaks off in the middle of one can
//! be resumed at another replica after the last whole event.

use bytes::Bytes;
use bytes::BytesMut;

/// Most bytes of an unfinished event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Most bytes that mark the end of an event.
const MAX_EVENT_END_BYTES: usize = 4;

/// Buffer for the unfinished event of one stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
    has_event: bool,
    /// Whole events of the last push.
    pushed_events: u32,
    /// Whether the next event is the first one of another replica.
    is_resumed: bool,
    is_foreign: bool,
}

impl EventSplitter {
    /// A stream that resumes after the event `last_id`; `None` if it starts from the beginning.
    pub fn new(last_id: Option<String>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Buffers `bytes` and returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // What was buffered before holds no end of an event, at most the beginning of one.
        let unsearched = self.buf.len().saturating_sub(MAX_EVENT_END_BYTES - 1);
        self.buf.extend_from_slice(bytes);
        let end = last_event_end(&self.buf[unsearched..]).map(|end| unsearched + end);
        self.pushed_events = 0;
        let Some(end) = end else { return Bytes::new() };
        let whole = self.buf.split_to(end).freeze();
        if self.is_resumed && contains_event(&whole) {
            self.is_resumed = false;
            self.is_foreign = !self.goes_on(&whole);
        }
        if self.is_foreign {
            return Bytes::new();
        }
        self.has_event |= contains_event(&whole);
        self.pushed_events = count_event_ends(&whole);
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Number of whole events that the last push has completed, as far as blank lines tell.
    pub fn pushed_events(&self) -> u32 {
        self.pushed_events
    }

    /// Id of the last whole event, after which the stream can be resumed.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether the replica that sends the stream now has sent a whole event.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Whether an unfinished event is buffered; line ends alone are none.
    pub fn has_partial(&self) -> bool {
        self.buf.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Whether a replica that sends nothing more has sent its stream to the end.
    ///
    /// An end inside an event is none. Neither is the end of the connection before the first
    /// event, since the replica may have failed after the head; `has_marked_end` tells that the
    /// length or the last chunk proves the end.
    pub fn is_complete(&self, has_marked_end: bool) -> bool {
        !self.has_partial() && (has_marked_end || self.has_event)
    }

    /// Whether another replica sent something else than the events that follow, such as an error.
    pub fn is_foreign(&self) -> bool {
        self.is_foreign
    }

    /// Whether the unfinished event is longer than 1 MiB, so that the stream has to be cut off.
    pub fn is_overlong(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Bytes that the unfinished event takes.
    pub fn held_bytes(&self) -> usize {
        self.buf.capacity()
    }

    /// Discards the unfinished event, as another replica sends the stream from there on.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
        self.has_event = false;
        self.is_resumed = true;
    }

    /// Whether the first one of `events` comes after the last event.
    fn goes_on(&self, events: &[u8]) -> bool {
        let Some(last) = &self.last_id else { return true };
        let Some(first) = first_event_id(events) else { return false };
        match (first.parse::<u64>(), last.parse::<u64>()) {
            (Ok(first), Ok(last)) => first > last,
            _ => first != *last,
        }
    }
}

fn last_event_end(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = buf.windows(4).rposition(|quad| quad == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn count_event_ends(events: &[u8]) -> u32 {
    let lf = events.windows(2).filter(|pair| *pair == b"\n\n").count();
    let crlf = events.windows(4).filter(|quad| *quad == b"\r\n\r\n").count();
    u32::try_from(lf + crlf).unwrap_or(u32::MAX)
}

/// Whether there is a line that is neither blank nor a comment.
fn contains_event(events: &[u8]) -> bool {
    let mut lines = events.split(|byte| matches!(byte, b'\r' | b'\n'));
    lines.any(|line| line.first().is_some_and(|first| *first != b':'))
}

/// Id of the first event; `None` if that has none.
fn first_event_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').map(|line| line.trim_ascii_end());
    let mut lines = lines.skip_while(|line| line.first().is_none_or(|first| *first == b':'));
    let id = lines.by_ref().take_while(|line| !line.is_empty());
    let id = id.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let id = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    let text = String::from_utf8_lossy(id);
    Some(text.trim().to_owned())
}

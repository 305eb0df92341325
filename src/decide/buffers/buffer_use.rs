//! One buffer and what is known of it.

use std::time::Duration;

use super::BufferClass;
use super::BufferKind;
use crate::names::Timestamp;

/// Time that counts for a buffer from its start, so that the size of a new one counts too.
const INITIAL_AGE: Duration = Duration::from_millis(1);

/// What a buffer holds, and since when.
#[derive(Clone, Copy, Debug)]
pub struct BufferUse {
    /// What arrives in it.
    pub kind: BufferKind,
    /// Bytes that it takes.
    pub bytes: usize,
    /// When it was opened.
    pub opened: Timestamp,
    /// Whether what it holds has arrived to its end, so that it is in use and can't be given up.
    pub is_whole: bool,
    /// Since when it is to be given up; its bytes are taken until it is closed.
    pub evicted_at: Option<Timestamp>,
}

impl BufferUse {
    /// An empty buffer.
    pub fn new(now: Timestamp, kind: BufferKind) -> Self {
        Self { kind, bytes: 0, opened: now, is_whole: false, evicted_at: None }
    }

    /// Whether it may be given up for others.
    pub fn is_evictable(&self) -> bool {
        !self.is_whole && self.evicted_at.is_none()
    }

    /// What speaks for giving it up if it takes `bytes`: first that it is a large request, which nobody
    /// has run, then what it has cost so far, in byte-microseconds.
    pub fn cost(&self, now: Timestamp, bytes: usize) -> (bool, u128) {
        let class = BufferClass::of(bytes);
        let is_large_request = self.kind == BufferKind::Request && class == BufferClass::Large;
        (is_large_request, (now.since(self.opened) + INITIAL_AGE).as_micros() * bytes as u128)
    }
}

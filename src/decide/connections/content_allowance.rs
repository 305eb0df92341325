//! Limit on what a connection may bring that is no content.

use std::time::Duration;

use crate::names::Timestamp;

/// Bytes that a connection may bring before its first head is complete; ordinary heads have far less.
const FREE_HEAD_BYTES: u64 = 64 * 1024;
/// The same on a connection to a server whose last one used that up without a head.
const FREE_REPEATED_HEAD_BYTES: u64 = 4 * 1024;
/// Fewest bytes that are read at a time.
const MIN_READ_BYTES: u64 = 4 * 1024;
/// Bytes that it may bring from then on before they turn out to be content: what a parser and the reader
/// of a body hold at a time.
const FREE_BYTES: u64 = 256 * 1024;
/// Bytes that are no content, beyond these, for which a connection is read in a second; the framing of
/// thousands of events.
const OVERHEAD_BYTES_PER_S: u64 = 16 * 1024;
/// Longest pause before it is looked again for content.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Bytes that a connection has brought and that were no content so far: heads that don't end, interim
/// responses, framing of chunks.
///
/// A parser that skips such bytes is done with them as fast as they come, so that their sender decides how
/// much of the processor they take. A connection that brings too many of them is read slowly; its calls
/// keep their own time limits.
#[derive(Clone, Copy, Debug, Default)]
pub struct ContentAllowance {
    overhead: u64,
    has_head: bool,
    is_repeated: bool,
    /// When the overhead was last reduced by what a time allows.
    reduced_at: Timestamp,
}

impl ContentAllowance {
    /// That of a connection to a server whose last one brought no head: a caller that calls again and
    /// again would otherwise read as much of each.
    pub fn repeated() -> Self {
        Self { is_repeated: true, ..Self::default() }
    }

    /// Records bytes that have arrived.
    pub fn on_read(&mut self, bytes: usize) {
        self.overhead = self.overhead.saturating_add(bytes as u64);
    }

    /// Records that some of them are content of a body.
    pub fn on_content(&mut self, bytes: usize) {
        self.overhead = self.overhead.saturating_sub(bytes as u64);
    }

    /// Records that a head is complete, so that all before it was of use.
    pub fn on_head(&mut self) {
        self.overhead = 0;
        self.has_head = true;
    }

    /// Whether the connection is read slowly.
    pub fn is_used_up(&self) -> bool {
        self.overhead > self.free_bytes()
    }

    /// Whether it was used up before a head was complete.
    pub fn lacks_head(&self) -> bool {
        self.is_used_up() && !self.has_head
    }

    /// Bytes that may be read at a time before the first head is complete; `None` after it.
    pub fn room(&self) -> Option<u64> {
        let left = self.free_bytes().saturating_sub(self.overhead);
        (!self.has_head).then_some(left.max(MIN_READ_BYTES))
    }

    /// Time until the connection may be read again; `None` if that is now.
    pub fn pause(&mut self, now: Timestamp) -> Option<Duration> {
        if !self.is_used_up() {
            return None;
        }
        let allowed = OVERHEAD_BYTES_PER_S as f64 * now.since(self.reduced_at).as_secs_f64();
        self.reduced_at = now;
        let free = self.free_bytes();
        self.overhead = self.overhead.saturating_sub(allowed as u64).max(free);
        let excess = self.overhead - free;
        let pause = Duration::from_secs_f64(excess as f64 / OVERHEAD_BYTES_PER_S as f64);
        (excess > 0).then_some(pause.min(MAX_PAUSE))
    }

    fn free_bytes(&self) -> u64 {
        match (self.has_head, self.is_repeated) {
            (true, _) => FREE_BYTES,
            (false, false) => FREE_HEAD_BYTES,
            (false, true) => FREE_REPEATED_HEAD_BYTES,
        }
    }
}

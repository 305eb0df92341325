//! What happens on an accepted connection: which requests are in progress on it, whether their
//! responses were written, and when it was last used.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Version;

use super::buffers::Buffer;
use super::caller_connections::ConnectionPlace;
use super::node::Node;
use super::usage_count::UsageGuard;
use crate::decide::buffers::BufferKind;
use crate::decide::connections::ConnectionPhase;
use crate::names::Timestamp;

/// Bytes of a head that need no room of their own; heads of ordinary requests are far shorter.
const UNCOUNTED_HEAD_BYTES: usize = 16 * 1024;

/// Activity of one connection.
pub struct ConnectionActivity {
    node: Arc<Node>,
    place: ConnectionPlace,
    counts_heads: bool,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    requests: u32,
    last_used: Timestamp,
    /// Since when its socket takes no more bytes; `None` if it does or nothing waits.
    blocked_since: Option<Timestamp>,
    /// Whether its responses have no chunks, so that a body without a length ends with the
    /// connection.
    lacks_chunks: bool,
    /// Bytes of a head that have arrived, and their room if there are many.
    head_bytes: usize,
    head_room: Option<Buffer>,
    /// Counts a request whose head has begun to arrive.
    head: Option<UsageGuard>,
    /// Counts a response that was handed to the connection and isn't written to its socket yet.
    unwritten: Option<UsageGuard>,
}

impl State {
    fn drop_head(&mut self) {
        self.head = None;
        self.head_bytes = 0;
        self.head_room = None;
    }
}

impl ConnectionActivity {
    /// A connection that has just been accepted; heads that arrive on it keep a shutdown waiting
    /// if `counts_heads`.
    pub fn new(node: &Arc<Node>, place: ConnectionPlace, counts_heads: bool) -> Self {
        let state = State {
            requests: 0,
            last_used: node.now(),
            blocked_since: None,
            head_bytes: 0,
            head_room: None,
            lacks_chunks: false,
            head: None,
            unwritten: None,
        };
        Self { node: Arc::clone(node), place, counts_heads, state: Mutex::new(state) }
    }

    /// Notes that a request has arrived whose head is complete.
    pub fn on_request(&self, version: Version, has_body: bool) {
        let mut state = self.state();
        state.requests += 1;
        state.lacks_chunks = version < Version::HTTP_11;
        state.drop_head();
        let phase = if has_body { ConnectionPhase::Body } else { ConnectionPhase::Response };
        self.place.set_phase(phase);
    }

    /// Notes that the body of the request has arrived.
    pub fn on_body_read(&self) {
        self.place.set_phase(ConnectionPhase::Response);
    }

    /// Notes that a response was handed to the connection as a whole; `guard` counts it until it is
    /// written.
    pub fn on_response_handed_over(&self, guard: Option<UsageGuard>) {
        let mut state = self.state();
        state.requests -= 1;
        state.last_used = self.node.now();
        state.unwritten = guard;
    }

    /// Notes that `count` bytes have arrived; returns whether there is room for them, if they are a
    /// head's.
    pub fn on_read(&self, count: usize) -> bool {
        let mut state = self.state();
        if state.requests > 0 {
            return true;
        }
        if self.counts_heads && state.head.is_none() {
            state.head = Some(self.node.arriving_heads.enter());
            state.last_used = self.node.now();
            // A pipelined one waits for the response before it.
            if state.unwritten.is_none() {
                self.place.set_phase(ConnectionPhase::Head);
            }
        }
        state.head_bytes += count;
        let bytes = state.head_bytes;
        if bytes <= UNCOUNTED_HEAD_BYTES {
            return true;
        }
        let buffers = &self.node.pressure.buffers;
        let room =
            state.head_room.get_or_insert_with(|| Buffer::open(buffers, BufferKind::Request));
        room.try_reserve(bytes)
    }

    /// Notes whether its socket took some of the bytes that wait to be written.
    pub fn on_write(&self, is_blocked: bool) {
        let mut state = self.state();
        state.blocked_since = match (is_blocked, state.blocked_since) {
            (true, None) => Some(self.node.now()),
            (true, since) => since,
            (false, _) => None,
        };
    }

    /// Notes that all that was handed to the connection is written to its socket.
    pub fn on_flushed(&self) {
        let mut state = self.state();
        if state.unwritten.take().is_some() {
            state.last_used = self.node.now();
            if state.requests == 0 {
                let has_head = state.head.is_some();
                let phase = if has_head { ConnectionPhase::Head } else { ConnectionPhase::Idle };
                self.place.set_phase(phase);
            }
        }
    }

    /// Notes that the connection has ended: nothing more is read or written.
    pub fn on_ended(&self) {
        let mut state = self.state();
        state.drop_head();
        state.unwritten = None;
        self.place.set_phase(ConnectionPhase::Closing);
    }

    /// Completes when the connection is to be closed for another one.
    pub async fn until_evicted(&self) {
        self.place.until_evicted().await;
    }

    /// Whether a head has been arriving for longer than `limit`.
    pub fn is_head_late(&self, limit: Duration) -> bool {
        let state = self.state();
        let is_arriving = state.head.is_some() && state.unwritten.is_none();
        is_arriving && self.node.now().since(state.last_used) > limit
    }

    /// Whether some of a response waits to be written of which nothing was taken for longer than `limit`.
    pub fn is_unread_for(&self, limit: Duration) -> bool {
        self.state().blocked_since.is_some_and(|since| self.node.now().since(since) > limit)
    }

    /// Whether nothing happened on the connection for longer than `limit`.
    pub fn is_idle_for(&self, limit: Duration) -> bool {
        let state = self.state();
        let is_idle = state.requests == 0 && state.unwritten.is_none() && state.head.is_none();
        is_idle && self.node.now().since(state.last_used) > limit
    }

    /// Whether its client would take a body that isn't whole as complete if the connection ended now.
    pub fn would_look_complete(&self) -> bool {
        let state = self.state();
        state.lacks_chunks && (state.requests > 0 || state.unwritten.is_some())
    }

    /// Whether its client takes the end of the connection as that of a body without a length.
    pub fn lacks_chunks(&self) -> bool {
        self.state().lacks_chunks
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

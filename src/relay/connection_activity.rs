//! What happens on an accepted connection: which requests are in progress on it, whether their
//! responses were written, and when it was last used.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Version;

use super::node::Node;
use super::usage_count::UsageGuard;
use crate::names::Timestamp;

/// Activity of one connection.
pub struct ConnectionActivity {
    node: Arc<Node>,
    counts_heads: bool,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    requests: u32,
    last_used: Timestamp,
    /// Whether its responses have no chunks, so that a body without a length ends with the
    /// connection.
    lacks_chunks: bool,
    /// Counts a request whose head has begun to arrive.
    head: Option<UsageGuard>,
    /// Counts a response that was handed to the connection and isn't written to its socket yet.
    unwritten: Option<UsageGuard>,
}

impl ConnectionActivity {
    /// A connection that has just been accepted; heads that arrive on it keep a shutdown waiting
    /// if `counts_heads`.
    pub fn new(node: &Arc<Node>, counts_heads: bool) -> Self {
        let state = State {
            requests: 0,
            last_used: node.now(),
            lacks_chunks: false,
            head: None,
            unwritten: None,
        };
        Self { node: Arc::clone(node), counts_heads, state: Mutex::new(state) }
    }

    /// Notes that a request has arrived whose head is complete.
    pub fn on_request(&self, version: Version) {
        let mut state = self.state();
        state.requests += 1;
        state.lacks_chunks = version < Version::HTTP_11;
        state.head = None;
    }

    /// Notes that a response was handed to the connection as a whole; `guard` counts it until it is
    /// written.
    pub fn on_response_handed_over(&self, guard: Option<UsageGuard>) {
        let mut state = self.state();
        state.requests -= 1;
        state.last_used = self.node.now();
        state.unwritten = guard;
    }

    /// Notes that bytes have arrived.
    pub fn on_read(&self) {
        let mut state = self.state();
        if self.counts_heads && state.requests == 0 && state.head.is_none() {
            state.head = Some(self.node.arriving_heads.enter());
            state.last_used = self.node.now();
        }
    }

    /// Notes that all that was handed to the connection is written to its socket.
    pub fn on_flushed(&self) {
        let mut state = self.state();
        if state.unwritten.take().is_some() {
            state.last_used = self.node.now();
        }
    }

    /// Notes that the connection has ended: nothing more is read or written.
    pub fn on_ended(&self) {
        let mut state = self.state();
        state.head = None;
        state.unwritten = None;
    }

    /// Whether nothing happened on the connection for longer than `limit`.
    pub fn is_idle_for(&self, limit: Duration) -> bool {
        let state = self.state();
        let is_idle = state.requests == 0 && state.unwritten.is_none();
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

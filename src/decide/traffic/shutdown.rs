//! Graceful shutdown of a relay: how long it accepts new requests after the signal to stop,
//! and when its process ends.

use std::time::Duration;

use crate::names::Timestamp;

/// Time for which new requests are still accepted, since the load balancer notices the
/// shutdown late.
const ACCEPT_TIME: Duration = Duration::from_millis(2600);
/// Time before the limit at which the process ends even if requests are unfinished.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time before that end at which requests without a response get one.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(300);
/// Time for which a request whose head is under way is waited for once no connection is accepted.
const LAST_HEAD_TIME: Duration = Duration::from_millis(500);
/// Time for which the first request on a connection that was just accepted is waited for.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(100);

/// A shutdown that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    started: Timestamp,
    limit: Duration,
}

impl Shutdown {
    /// A shutdown that begins now and has to be over within `limit`.
    pub fn new(now: Timestamp, limit: Duration) -> Self {
        Self { started: now, limit: limit.saturating_sub(EXIT_MARGIN) }
    }

    /// Whether new requests are still accepted; later ones could be cut off.
    pub fn accepts_requests(&self, now: Timestamp) -> bool {
        now.since(self.started) < ACCEPT_TIME.min(self.limit)
    }

    /// Time until requests that no replica has responded to get a response of the relay's own.
    pub fn time_until_last_responses(&self, now: Timestamp) -> Duration {
        let elapsed = now.since(self.started);
        self.limit.saturating_sub(LAST_RESPONSE_MARGIN).saturating_sub(elapsed)
    }

    /// Whether callers' connections are no longer accepted; `unfinished` is the number of requests in progress and of
    /// responses that aren't written yet.
    pub fn is_closing(&self, now: Timestamp, unfinished: usize) -> bool {
        let elapsed = now.since(self.started);
        elapsed >= self.limit || (unfinished == 0 && !self.accepts_requests(now))
    }

    /// Whether the process ends now, after connections were no longer accepted from `closed_at` on.
    ///
    /// Requests are about to arrive on a connection that was accepted shortly before, and of
    /// `arriving_heads` the beginnings have arrived.
    pub fn may_end(
        &self,
        now: Timestamp,
        closed_at: Timestamp,
        last_accepted: Timestamp,
        unfinished: usize,
        arriving_heads: usize,
    ) -> bool {
        let has_new_connection = now.since(last_accepted) < FIRST_REQUEST_TIME;
        let has_head = arriving_heads > 0 && now.since(closed_at) < LAST_HEAD_TIME;
        let is_awaited = unfinished > 0 || has_new_connection || has_head;
        now.since(self.started) >= self.limit || !is_awaited
    }
}

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

    /// Whether the process ends now; `unfinished` is the number of requests in progress and of
    /// responses that aren't written yet.
    pub fn is_over(&self, now: Timestamp, unfinished: usize) -> bool {
        let elapsed = now.since(self.started);
        elapsed >= self.limit || (unfinished == 0 && !self.accepts_requests(now))
    }
}

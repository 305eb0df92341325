//! What becomes of requests in a process that hasn't read the published state yet.
//!
//! Mostly the first listing is there moments after the start, so the first requests wait for it.
//! Later its store is in trouble, and the trouble is expected to last as long as it has lasted: callers
//! try again only a few times, so a short time that is named again and again uses up their tries.

use std::time::Duration;

use crate::names::Timestamp;

/// Time after the start within which the first listing is awaited.
const AWAITED_FOR: Duration = Duration::from_millis(400);
/// Shortest time that is named to a caller afterwards.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Longest one.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstListing {
    /// It waits for this time at most, and is looked at again.
    Await(Duration),
    /// It is refused; its caller may retry after this time.
    Refuse(Duration),
}

impl FirstListing {
    /// Decides in a process that started at `started` and has no listing yet.
    pub fn missing(now: Timestamp, started: Timestamp) -> Self {
        let lasted = now.since(started);
        match AWAITED_FOR.checked_sub(lasted) {
            Some(left) if !left.is_zero() => Self::Await(left),
            Some(_) | None => Self::Refuse(Self::retry_after(now, started)),
        }
    }

    /// Time after which a caller may retry whose request can't be served for that reason.
    pub fn retry_after(now: Timestamp, started: Timestamp) -> Duration {
        now.since(started).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

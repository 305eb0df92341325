//! Adaptive concurrency limit of a replica that fails if it rejects too many requests.
//!
//! How many it takes at once isn't known, nor, at first, what runs there by permits of other instances:
//! the limit begins with half of its slots and grows step by step, so that the first rejection comes
//! alone. So it does whenever other instances may have counted meanwhile. A rejection lowers the limit below what was under way; afterwards it grows slowly.
//! Rejections are kept to half of what the replica bears in a second, as requests on their way can't
//! be called back.

use std::collections::VecDeque;
use std::time::Duration;

use crate::names::Timestamp;

/// Span in which the replica counts rejections.
const REJECTION_SPAN: Duration = Duration::from_secs(1);
/// Time without a request after a rejection, in which those that run may end.
const REST: Duration = Duration::from_millis(100);
/// Time after which one request more is tried, as long as none was rejected.
const FIRST_GROWTH_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a rejection after which one request more is tried.
const GROWTH_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the begin in which what runs there isn't known.
const LEARNING_TIME: Duration = Duration::from_secs(2);
/// Time until the next ask when the limit is reached.
const FULL_RETRY: Duration = Duration::from_millis(150);

/// Requests that one replica may have at once.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: u32,
    slots: u32,
    begun_at: Timestamp,
    max_rejections: u32,
    growth_interval: Duration,
    grown_at: Timestamp,
    rejections: VecDeque<Timestamp>,
}

impl ConcurrencyLimit {
    /// A replica that runs `slots` requests at once and fails above `max_rejections` a second.
    pub fn new(now: Timestamp, slots: u32, max_rejections: u32) -> Self {
        Self {
            limit: (slots / 2).max(1),
            slots,
            begun_at: now,
            max_rejections,
            growth_interval: FIRST_GROWTH_INTERVAL,
            grown_at: now,
            rejections: VecDeque::new(),
        }
    }

    /// Requests that may run at once if nothing is rejected.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Updates how many rejections the replica bears.
    pub fn set_max_rejections(&mut self, max_rejections: u32) {
        self.max_rejections = max_rejections;
    }

    /// Time until one more request may be sent beside `running` ones; zero if it may now.
    pub fn wait(&mut self, now: Timestamp, running: u32, slots: u32) -> Duration {
        if slots > self.slots {
            self.restart(now, slots);
        }
        self.slots = slots;
        let slots = slots.max(1);
        if now.since(self.grown_at) >= self.growth_interval && running >= self.limit {
            self.limit = (self.limit + 1).min(slots);
            self.grown_at = now;
        }
        let pause = self.pause(now);
        let is_full = running >= self.limit.min(slots);
        if pause.is_zero() && is_full { FULL_RETRY } else { pause }
    }

    /// Begins with half of the slots again, as other instances may have counted meanwhile: this process
    /// was paused, or it sees more of the fleet, and so has more `slots` to permit.
    pub fn restart(&mut self, now: Timestamp, slots: u32) {
        self.limit = self.limit.min(slots / 2).max(1);
        self.growth_interval = FIRST_GROWTH_INTERVAL;
        self.grown_at = now;
        self.begun_at = now;
    }

    /// Requests that may be on their way without a word of the replica; `None` if any number may, as
    /// what runs there is known.
    pub fn max_unproven(&self, now: Timestamp) -> Option<usize> {
        let is_learning = now.since(self.begun_at) < LEARNING_TIME;
        is_learning.then(|| self.tolerated())
    }

    /// Rejections in a second from which on nothing is sent.
    fn tolerated(&self) -> usize {
        (self.max_rejections / 2).max(1) as usize
    }

    /// Records a rejection, when `running` other requests were under way.
    pub fn on_rejected(&mut self, now: Timestamp, running: u32) {
        self.limit = self.limit.min(running).max(1);
        self.growth_interval = GROWTH_INTERVAL;
        self.grown_at = now;
        self.rejections.push_back(now);
    }

    fn pause(&mut self, now: Timestamp) -> Duration {
        while self.rejections.front().is_some_and(|at| now.since(*at) >= REJECTION_SPAN) {
            self.rejections.pop_front();
        }
        let Some(last) = self.rejections.back() else { return Duration::ZERO };
        let until = match self.rejections.len().checked_sub(self.tolerated()) {
            Some(surplus) => self.rejections[surplus] + REJECTION_SPAN,
            None => *last + REST,
        };
        until.since(now)
    }
}

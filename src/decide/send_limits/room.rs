//! How many requests a replica has room for that fails if it turns too many away.
//!
//! What it takes at once isn't known, nor, at first, what runs there by permits of other instances: the
//! count begins with half of its slots and grows step by step, so that the first rejection comes
//! alone. A rejection shows that there is less room than requests were under way; afterwards it
//! grows slowly. Rejections are kept to half of what the replica bears in a second, as requests on
//! their way can't be called back.

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
/// Time until the next ask when all room is taken.
const FULL_RETRY: Duration = Duration::from_millis(150);

/// Room of one replica.
#[derive(Clone, Debug)]
pub struct Room {
    assumed: u32,
    max_rejections: u32,
    growth_interval: Duration,
    grown_at: Timestamp,
    rejections: VecDeque<Timestamp>,
}

impl Room {
    /// A replica that runs `slots` requests at once and fails above `max_rejections` a second.
    pub fn new(now: Timestamp, slots: u32, max_rejections: u32) -> Self {
        Self {
            assumed: (slots / 2).max(1),
            max_rejections,
            growth_interval: FIRST_GROWTH_INTERVAL,
            grown_at: now,
            rejections: VecDeque::new(),
        }
    }

    /// Updates how many rejections the replica bears.
    pub fn set_max_rejections(&mut self, max_rejections: u32) {
        self.max_rejections = max_rejections;
    }

    /// Time until one more request may be sent beside `running` ones; zero if it may now.
    pub fn wait(&mut self, now: Timestamp, running: u32, slots: u32) -> Duration {
        let slots = slots.max(1);
        if now.since(self.grown_at) >= self.growth_interval && running >= self.assumed {
            self.assumed = (self.assumed + 1).min(slots);
            self.grown_at = now;
        }
        let pause = self.pause(now);
        let is_full = running >= self.assumed.min(slots);
        if pause.is_zero() && is_full { FULL_RETRY } else { pause }
    }

    /// Records a rejection, when `running` other requests were under way.
    pub fn on_rejected(&mut self, now: Timestamp, running: u32) {
        self.assumed = self.assumed.min(running).max(1);
        self.growth_interval = GROWTH_INTERVAL;
        self.grown_at = now;
        self.rejections.push_back(now);
    }

    fn pause(&mut self, now: Timestamp) -> Duration {
        while self.rejections.front().is_some_and(|at| now.since(*at) >= REJECTION_SPAN) {
            self.rejections.pop_front();
        }
        let Some(last) = self.rejections.back() else { return Duration::ZERO };
        let tolerated = (self.max_rejections / 2).max(1) as usize;
        let until = match self.rejections.len().checked_sub(tolerated) {
            Some(surplus) => self.rejections[surplus] + REJECTION_SPAN,
            None => *last + REST,
        };
        until.since(now)
    }
}

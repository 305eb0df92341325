//! Progress of one response: whether its replica has outlived the beginning of it.
//!
//! A request that crashes replicas does so soon after its response has begun. One whose response
//! has lasted for longer didn't crash its replica, even if another one does later.

use std::time::Duration;

use crate::names::Timestamp;

/// Time after the beginning of a response in which its request may be what crashed the replica.
const CRASH_WINDOW: Duration = Duration::from_millis(500);
/// Time between two arrivals of data after that window that show the replica to be alive. One
/// arrival alone may have been buffered while this process was paused.
const PROOF_SPAN: Duration = Duration::from_millis(200);

/// Times of one response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseProgress {
    /// When the first data arrived, or the head if there is none yet.
    begun: Timestamp,
    has_data: bool,
    last_data: Timestamp,
    outlasted: Option<Timestamp>,
    is_sound: bool,
}

impl ResponseProgress {
    /// A response whose head arrives now.
    pub fn new(now: Timestamp) -> Self {
        Self { begun: now, has_data: false, last_data: now, outlasted: None, is_sound: false }
    }

    /// Records that data has arrived; returns `true` once, when the replica has outlived the
    /// beginning of the response.
    pub fn on_data(&mut self, now: Timestamp) -> bool {
        if !self.has_data {
            self.has_data = true;
            self.begun = now;
        }
        self.last_data = now;
        if self.is_sound || now.since(self.begun) < CRASH_WINDOW {
            return false;
        }
        let outlasted = *self.outlasted.get_or_insert(now);
        self.is_sound = now.since(outlasted) >= PROOF_SPAN;
        self.is_sound
    }

    /// Records that the response has ended, as its length or last chunk marks or else with its
    /// connection; returns `true` if that shows that its replica has outlived the beginning, unless
    /// that is known already.
    pub fn on_end(&mut self, is_marked: bool) -> bool {
        let is_proof = is_marked || !self.may_have_crashed();
        is_proof && !std::mem::replace(&mut self.is_sound, true)
    }

    /// Time from the first data of the response to the last.
    pub fn lasted(&self) -> Duration {
        self.last_data.since(self.begun)
    }

    /// Whether the request may be what crashed the replica, if it crashes now.
    pub fn may_have_crashed(&self) -> bool {
        self.lasted() < CRASH_WINDOW
    }
}

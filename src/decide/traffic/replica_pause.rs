//! Pause that a replica asks for with `Retry-After` when it refuses a request.
//!
//! Until the pause is over, nothing is sent to the replica. Afterwards requests come back slowly:
//! each answer allows two more, so that those that waited don't arrive all at once.

use std::time::Duration;

use crate::names::Timestamp;

/// Longest pause that is kept; a longer one is cut to this.
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// Answers after a pause from which on the replica gets as much as before.
const ANSWERS_UNTIL_NORMAL: u32 = 8;
/// Requests that may be sent after a pause before the first answer.
const FIRST_REQUESTS: u32 = 1;
/// Time after which a sent request no longer holds others back, if no answer came.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time to wait that a refusal names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// It names none.
    #[default]
    Absent,
    /// Nothing is wanted for this time.
    After(Duration),
    /// Its value isn't a time.
    Invalid,
}

#[derive(Clone, Copy, Debug)]
struct Return {
    sent: u32,
    answered: u32,
    last_sent: Timestamp,
}

/// Pause of one replica, and the slow return after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaPause {
    until: Option<Timestamp>,
    returning: Option<Return>,
    had_invalid: bool,
}

impl ReplicaPause {
    /// Applies what a refusal asks for; returns `true` if the value is invalid or too long for the
    /// first time, which is worth a log line.
    pub fn on_refused(&mut self, now: Timestamp, wanted: RetryAfter) -> bool {
        let pause = match wanted {
            RetryAfter::Absent => return false,
            RetryAfter::Invalid => return !std::mem::replace(&mut self.had_invalid, true),
            RetryAfter::After(pause) => pause,
        };
        if pause.is_zero() {
            return false;
        }
        self.until = self.until.max(Some(now + pause.min(MAX_PAUSE)));
        self.returning = Some(Return { sent: 0, answered: 0, last_sent: now });
        pause > MAX_PAUSE && !std::mem::replace(&mut self.had_invalid, true)
    }

    /// Time until the pause is over; zero if there is none.
    pub fn left(&self, now: Timestamp) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Whether a request may be sent now.
    pub fn accepts(&self, now: Timestamp) -> bool {
        if !self.left(now).is_zero() {
            return false;
        }
        self.returning.is_none_or(|back| {
            back.sent < FIRST_REQUESTS + 2 * back.answered
                || now.since(back.last_sent) >= ANSWER_TIMEOUT
        })
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, now: Timestamp) {
        if let Some(back) = &mut self.returning {
            back.sent += 1;
            back.last_sent = now;
        }
    }

    /// Records an answer that isn't a refusal; the pause is over after enough of them.
    pub fn on_answered(&mut self, now: Timestamp) {
        if !self.left(now).is_zero() {
            return;
        }
        if let Some(back) = &mut self.returning {
            back.answered += 1;
            if back.answered >= ANSWERS_UNTIL_NORMAL {
                *self = Self { had_invalid: self.had_invalid, ..Self::default() };
            }
        }
    }
}

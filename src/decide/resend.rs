//! When a caller may send a submission again, and with which ticket.
//!
//! A repetition with the same ticket never runs twice. A new ticket is a new
//! submission, so it may only be used while every earlier attempt is proven
//! not to have run. An answer of "not run" speaks of the attempt that it
//! answers; after another attempt was lost, it proves nothing about that one.
//! The sender uses a ticket alone, so it knows every attempt.

use std::time::Duration;

use crate::error::Error;
use crate::error::ErrorKind;

const FIRST_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// How one attempt to send a submission ended without a receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte was sent.
    NotSent,
    /// Something may have been sent, and no answer came.
    Lost,
    /// An instance answered with this error.
    Refused(Error),
}

/// What to do after an attempt without a receipt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send it again with the same ticket.
    SameTicket {
        /// Time to wait first.
        after: Duration,
    },
    /// Send it with a new ticket.
    NewTicket {
        /// Time to wait first.
        after: Duration,
    },
    /// Give up; the submission is proven not to have run.
    GiveUpNotRun,
    /// Give up; the submission may have run.
    GiveUpUnknown,
}

/// The attempts of one submission.
#[derive(Clone, Debug)]
pub struct ResendPolicy {
    attempts_left: u32,
    backoff: Duration,
    maybe_ran: bool,
}

impl ResendPolicy {
    /// A submission that may be sent `attempts` times in all.
    pub fn new(attempts: u32) -> Self {
        Self { attempts_left: attempts, backoff: FIRST_BACKOFF, maybe_ran: false }
    }

    /// Whether an attempt so far may have run.
    pub fn maybe_ran(&self) -> bool {
        self.maybe_ran
    }

    /// Decides what follows an attempt without a receipt.
    pub fn on_attempt_end(&mut self, end: &AttemptEnd) -> NextStep {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.maybe_ran |= match end {
            AttemptEnd::NotSent => false,
            AttemptEnd::Lost => true,
            // The kind speaks of this attempt alone. An instance can't know of the
            // others, so its answer may say less; this sender knows them all.
            AttemptEnd::Refused(error) => !error.kind.response().not_run,
        };
        if self.attempts_left == 0 || self.is_final(end) {
            return self.give_up();
        }
        let after = self.wait(end);
        if self.maybe_ran { NextStep::SameTicket { after } } else { NextStep::NewTicket { after } }
    }

    fn is_final(&self, end: &AttemptEnd) -> bool {
        let AttemptEnd::Refused(error) = end else { return false };
        match error.kind {
            // Only a ticket that is still valid can give a receipt.
            ErrorKind::TicketExpired | ErrorKind::TicketInvalid | ErrorKind::TicketReused => true,
            _ => !self.maybe_ran && error.response().retry_after.is_none(),
        }
    }

    fn give_up(&self) -> NextStep {
        if self.maybe_ran { NextStep::GiveUpUnknown } else { NextStep::GiveUpNotRun }
    }

    fn wait(&mut self, end: &AttemptEnd) -> Duration {
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(MAX_BACKOFF);
        match end {
            AttemptEnd::Refused(error) => error.response().retry_after.unwrap_or(backoff),
            AttemptEnd::NotSent | AttemptEnd::Lost => backoff,
        }
    }
}

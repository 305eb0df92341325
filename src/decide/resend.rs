//! When a caller may send a submission again, and with which ticket.
//!
//! A re-send with the same ticket never runs twice. A new ticket is a new
//! submission, so it may only be used while every earlier attempt is proven
//! not to have run. A response of "not run" proves that only for the attempt
//! that it answers, not for an earlier one that was lost. No other sender uses the
//! ticket, so this one knows every attempt.

use std::time::Duration;

use crate::error::Error;
use crate::error::ErrorKind;

/// Delay before the second attempt; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// Longest delay between attempts, unless a response asks for a longer one.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// How one attempt to send a submission ended without a receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte was sent.
    NotSent,
    /// A byte may have been sent, and no response came.
    Lost,
    /// An instance answered with this error.
    Refused(Error),
}

/// What to do after an attempt without a receipt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the submission again with the same ticket.
    SameTicket {
        /// Time to wait first.
        after: Duration,
    },
    /// Send the submission with a new ticket.
    NewTicket {
        /// Time to wait first.
        after: Duration,
    },
    /// Give up; the submission is proven not to have run.
    GiveUpNotRun,
    /// Give up; the submission may have run.
    GiveUpUnknown,
}

/// Decides on the attempts of one submission, with exponential backoff.
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

    /// Whether one of the attempts so far may have run.
    pub fn maybe_ran(&self) -> bool {
        self.maybe_ran
    }

    /// Decides what follows an attempt without a receipt.
    pub fn on_attempt_end(&mut self, end: &AttemptEnd) -> NextStep {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.maybe_ran |= match end {
            AttemptEnd::NotSent => false,
            AttemptEnd::Lost => true,
            // The error kind is about this attempt alone. The instance can't know of the
            // others, so its response may claim less; this sender knows them all.
            AttemptEnd::Refused(error) => !error.kind.response().not_run,
        };
        if self.attempts_left == 0 || self.is_final(end) {
            return self.give_up();
        }
        let after = self.next_delay(end);
        if self.maybe_ran { NextStep::SameTicket { after } } else { NextStep::NewTicket { after } }
    }

    fn is_final(&self, end: &AttemptEnd) -> bool {
        let AttemptEnd::Refused(error) = end else { return false };
        match error.kind {
            // Such a ticket can't bring a receipt any more.
            ErrorKind::TicketExpired | ErrorKind::TicketInvalid | ErrorKind::TicketReused => true,
            _ => !self.maybe_ran && error.response().retry_after.is_none(),
        }
    }

    fn give_up(&self) -> NextStep {
        if self.maybe_ran { NextStep::GiveUpUnknown } else { NextStep::GiveUpNotRun }
    }

    fn next_delay(&mut self, end: &AttemptEnd) -> Duration {
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(MAX_BACKOFF);
        match end {
            AttemptEnd::Refused(error) => error.response().retry_after.unwrap_or(backoff),
            AttemptEnd::NotSent | AttemptEnd::Lost => backoff,
        }
    }
}

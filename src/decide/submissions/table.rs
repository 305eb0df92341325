//! The tickets that one incarnation issued, and the state of each.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use super::AfterSend;
use super::Attempt;
use super::BodyHash;
use super::ClaimResult;
use super::MAX_RECEIPT_BYTES;
use super::Outcome;
use super::SendPermit;
use super::SubmissionTableLimits;
use super::Ticket;
use super::TicketStatus;
use super::entry::Entry;
use super::entry::State;
use super::verdict::outcome_unknown;
use crate::decide::dispatch_failure::DispatchFailure;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::names::RequestId;
use crate::names::Timestamp;

/// Shortest `Retry-After` when the table is full.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Tickets of a [`SubmissionTable`] by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubmissionCounts {
    /// Tickets that may still be used.
    pub unused: usize,
    /// Submissions that are running.
    pub running: usize,
    /// Outcomes that are remembered.
    pub ended: usize,
}

/// The tickets that one incarnation issued, and the outcome of each.
///
/// Every decision uses the latest time passed in so far, so code that read the
/// clock before a pause can't undo what was decided meanwhile.
#[derive(Debug)]
pub struct SubmissionTable {
    name: InstanceName,
    incarnation: Incarnation,
    limits: SubmissionTableLimits,
    latest_seen: Timestamp,
    entries: HashMap<RequestId, Entry>,
    due: BTreeSet<(Timestamp, RequestId)>,
}

impl SubmissionTable {
    /// An empty table of one incarnation.
    pub fn new(
        name: InstanceName,
        incarnation: Incarnation,
        limits: SubmissionTableLimits,
    ) -> Self {
        Self {
            name,
            incarnation,
            limits,
            latest_seen: Timestamp::ZERO,
            entries: HashMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// Issues a ticket for the new submission `id`.
    ///
    /// # Errors
    ///
    /// `Overloaded` if the table is full, `Internal` if `id` is in use.
    pub fn issue(&mut self, now: Timestamp, id: RequestId) -> Result<Ticket> {
        let now = self.monotonic_now(now);
        self.forget_due(now);
        if self.entries.len() >= self.limits.max_tickets() {
            return Err(self.full_error(now));
        }
        if self.entries.contains_key(&id) {
            let detail = format!("submission id {id} is in use already; no ticket was issued");
            return Err(Error::new(ErrorKind::Internal, detail));
        }
        let expires_ms = (now + self.limits.lifetime).as_micros() / 1000;
        let expires = Timestamp::from_millis(expires_ms);
        self.entries.insert(id, Entry { expires, state: State::Unused });
        self.due.insert((expires, id));
        Ok(Ticket { id, issuer: self.name.clone(), incarnation: self.incarnation, expires_ms })
    }

    /// Claims a ticket for a submission with this body; the first claim may run.
    ///
    /// # Errors
    ///
    /// `TicketExpired` if it is proven that the submission never ran,
    /// `TicketReused` if the ticket came with another body before,
    /// `OutcomeUnknown` if this table can't tell.
    pub fn claim(
        &mut self,
        now: Timestamp,
        ticket: &Ticket,
        body: BodyHash,
    ) -> Result<ClaimResult> {
        let now = self.monotonic_now(now);
        self.check_issuer(ticket)?;
        let id = ticket.id;
        let Some(entry) = self.entries.get_mut(&id) else {
            return Err(self.error_if_absent(now, ticket));
        };
        match &entry.state {
            State::Unused if now >= entry.expires => Err(expired_error(id)),
            State::Unused => {
                entry.state = State::Running { body };
                Ok(ClaimResult::Run(Attempt::new(id)))
            }
            State::Running { body: used } | State::Ended { body: used, .. } if *used != body => {
                let detail = format!("ticket {id} was used with another body");
                Err(Error::new(ErrorKind::TicketReused, detail))
            }
            State::Running { .. } => Ok(ClaimResult::Running),
            State::Ended { outcome, .. } => Ok(ClaimResult::Ended(outcome.clone())),
        }
    }

    /// Permits one send, which must follow at once; `now` must be read immediately before.
    ///
    /// # Errors
    ///
    /// The outcome "not run" if the ticket expired meanwhile.
    pub fn start_send(
        &mut self,
        now: Timestamp,
        attempt: Attempt,
    ) -> std::result::Result<SendPermit, Outcome> {
        let now = self.monotonic_now(now);
        match self.entries.get(&attempt.id()) {
            Some(entry) if now < entry.expires => Ok(SendPermit::new(attempt)),
            Some(_) | None => Err(self.give_up(attempt, ErrorKind::TicketExpired)),
        }
    }

    /// Records an attempt that ended before its send was permitted.
    ///
    /// Another replica follows if `end` allows it and `more_replicas` are at hand.
    pub fn end_without_connection(
        &mut self,
        attempt: Attempt,
        end: DispatchFailure,
        more_replicas: bool,
    ) -> AfterSend {
        if end.allows_another_replica() && more_replicas {
            return AfterSend::TryAnother(attempt);
        }
        if end.proves_not_run() {
            return AfterSend::Ended(self.give_up(attempt, end.submission_kind()));
        }
        AfterSend::Ended(self.end(attempt.into_id(), Outcome::Unknown))
    }

    /// Records how a send ended without a receipt.
    ///
    /// Another replica follows only if no byte was sent and `more_replicas` are at hand.
    pub fn end_without_receipt(
        &mut self,
        permit: SendPermit,
        end: DispatchFailure,
        more_replicas: bool,
    ) -> AfterSend {
        self.end_without_connection(permit.into_attempt(), end, more_replicas)
    }

    /// Records the receipt that a desk gave; one that is too long isn't kept.
    pub fn end_with_receipt(&mut self, permit: SendPermit, receipt: &str) -> Outcome {
        let outcome = if receipt.len() > MAX_RECEIPT_BYTES {
            Outcome::Unknown
        } else {
            Outcome::Done { receipt: receipt.into() }
        };
        self.end(permit.into_attempt().into_id(), outcome)
    }

    /// Ends an attempt as not run; its type shows that no send is under way.
    pub fn give_up(&mut self, attempt: Attempt, kind: ErrorKind) -> Outcome {
        self.end(attempt.into_id(), Outcome::NotRun { kind })
    }

    /// Ends a submission whose attempt was lost, for instance by a panic; its outcome is unknown.
    pub fn on_attempt_lost(&mut self, id: RequestId) {
        self.end(id, Outcome::Unknown);
    }

    /// What is known of a ticket's submission, without running it.
    pub fn ticket_status(&mut self, now: Timestamp, ticket: &Ticket) -> TicketStatus {
        let now = self.monotonic_now(now);
        if self.check_issuer(ticket).is_err() {
            return TicketStatus::Unknown;
        }
        let never_used = TicketStatus::Ended(Outcome::NotRun { kind: ErrorKind::TicketExpired });
        match self.entries.get(&ticket.id) {
            Some(Entry { expires, state: State::Unused }) if now >= *expires => never_used,
            Some(Entry { state: State::Unused, .. }) => TicketStatus::Unused,
            Some(Entry { state: State::Running { .. }, .. }) => TicketStatus::Running,
            Some(Entry { state: State::Ended { outcome, .. }, .. }) => {
                TicketStatus::Ended(outcome.clone())
            }
            None if self.error_if_absent(now, ticket).kind == ErrorKind::TicketExpired => {
                never_used
            }
            None => TicketStatus::Unknown,
        }
    }

    /// Forgets unused tickets that expired and outcomes that need no longer be remembered.
    pub fn forget_expired(&mut self, now: Timestamp) {
        let now = self.monotonic_now(now);
        self.forget_due(now);
    }

    /// How many tickets are in each state.
    pub fn counts(&self) -> SubmissionCounts {
        let mut counts = SubmissionCounts::default();
        for entry in self.entries.values() {
            match entry.state {
                State::Unused => counts.unused += 1,
                State::Running { .. } => counts.running += 1,
                State::Ended { .. } => counts.ended += 1,
            }
        }
        counts
    }

    fn monotonic_now(&mut self, now: Timestamp) -> Timestamp {
        self.latest_seen = self.latest_seen.max(now);
        self.latest_seen
    }

    fn check_issuer(&self, ticket: &Ticket) -> Result<()> {
        if ticket.issuer == self.name && ticket.incarnation == self.incarnation {
            return Ok(());
        }
        let cause = format!("the process of {} that issued the ticket has ended", ticket.issuer);
        Err(outcome_unknown(ticket.id, &cause))
    }

    /// The error for a ticket without an entry.
    ///
    /// From its expiry until its outcome would be forgotten, only an unused ticket has none.
    fn error_if_absent(&self, now: Timestamp, ticket: &Ticket) -> Error {
        let expires = Timestamp::from_millis(ticket.expires_ms);
        if now >= expires && now < expires + self.limits.memory {
            return expired_error(ticket.id);
        }
        outcome_unknown(ticket.id, "its outcome is no longer remembered")
    }

    /// Ends a running submission; a recorded outcome is never replaced.
    fn end(&mut self, id: RequestId, outcome: Outcome) -> Outcome {
        let Some(entry) = self.entries.get_mut(&id) else { return Outcome::Unknown };
        match &entry.state {
            State::Running { body } => {
                entry.state = State::Ended { body: *body, outcome: outcome.clone() };
                outcome
            }
            State::Ended { outcome: recorded, .. } => recorded.clone(),
            State::Unused => Outcome::Unknown,
        }
    }

    fn forget_due(&mut self, now: Timestamp) {
        while let Some((due, id)) = self.due.first().copied() {
            if due > now {
                return;
            }
            self.due.remove(&(due, id));
            if let Some(next) = self.next_due(now, id) {
                self.due.insert((next, id));
            } else {
                self.entries.remove(&id);
            }
        }
    }

    /// When the entry must be checked again; `None` if it may be forgotten now.
    fn next_due(&self, now: Timestamp, id: RequestId) -> Option<Timestamp> {
        let entry = self.entries.get(&id)?;
        let end_of_memory = entry.expires + self.limits.memory;
        match entry.state {
            State::Unused => None,
            State::Running { .. } => Some(end_of_memory.max(now + self.limits.lifetime)),
            State::Ended { .. } if now >= end_of_memory => None,
            State::Ended { .. } => Some(end_of_memory),
        }
    }

    fn full_error(&self, now: Timestamp) -> Error {
        let tickets = self.entries.len();
        let wait = self.due.first().map_or(MIN_RETRY_AFTER, |(due, _)| due.since(now));
        Error::new(
            ErrorKind::Overloaded,
            format!("the ticket table is full: {tickets} tickets are remembered"),
        )
        .retry_after(wait.max(MIN_RETRY_AFTER))
    }
}

fn expired_error(id: RequestId) -> Error {
    Error::new(ErrorKind::TicketExpired, format!("ticket {id} expired unused"))
}

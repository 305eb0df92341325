//! The used tickets of one incarnation.

use std::collections::HashMap;
use std::time::Duration;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::RequestId;
use crate::names::Timestamp;

/// How long a ticket may be used.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(600);

/// How a submission ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The desk ran it and gave a receipt.
    Done {
        /// Receipt number that the desk gave.
        receipt: String,
    },
    /// It may or may not have run.
    Unknown,
}

/// What a claim on a ticket gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The submission may run now, once.
    Run,
    /// It is running.
    Running,
    /// It ended.
    Ended(Outcome),
}

#[derive(Clone, Debug)]
enum Use {
    Running,
    Ended(Outcome),
}

#[derive(Clone, Debug)]
struct Entry {
    body_hash: u64,
    expires: Timestamp,
    state: Use,
}

/// The used tickets of one incarnation.
#[derive(Clone, Debug, Default)]
pub struct SubmissionBook {
    entries: HashMap<RequestId, Entry>,
}

impl SubmissionBook {
    /// Claims a ticket for a submission with this body.
    ///
    /// # Errors
    ///
    /// `TicketExpired` or `TicketReused`.
    pub fn claim(
        &mut self,
        now: Timestamp,
        id: RequestId,
        expires: Timestamp,
        body_hash: u64,
    ) -> Result<Claim> {
        if let Some(entry) = self.entries.get(&id) {
            if entry.body_hash != body_hash {
                let detail = format!("ticket {id} was used with another body");
                return Err(Error::new(ErrorKind::TicketReused, detail));
            }
            return Ok(match &entry.state {
                Use::Running => Claim::Running,
                Use::Ended(outcome) => Claim::Ended(outcome.clone()),
            });
        }
        if now >= expires {
            return Err(Error::new(ErrorKind::TicketExpired, format!("ticket {id} has expired")));
        }
        self.entries.insert(id, Entry { body_hash, expires, state: Use::Running });
        Ok(Claim::Run)
    }

    /// Records how a submission ended.
    pub fn finish(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.state = Use::Ended(outcome);
        }
    }

    /// Gives a ticket back after the submission was proven not to have run.
    pub fn release(&mut self, id: RequestId) {
        self.entries.remove(&id);
    }

    /// What is known of a submission.
    pub fn outcome(&self, id: RequestId) -> Option<Claim> {
        self.entries.get(&id).map(|entry| match &entry.state {
            Use::Running => Claim::Running,
            Use::Ended(outcome) => Claim::Ended(outcome.clone()),
        })
    }

    /// Forgets ended submissions whose tickets have expired.
    pub fn forget_expired(&mut self, now: Timestamp) {
        self.entries.retain(|_, entry| match entry.state {
            Use::Running => true,
            Use::Ended(_) => now < entry.expires,
        });
    }
}

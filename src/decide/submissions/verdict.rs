//! What an instance tells of a submission, to a caller or to a peer.

use serde::Deserialize;
use serde::Serialize;

use super::Outcome;
use super::Ticket;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::RequestId;

/// What the issuer of a ticket says of its submission.
///
/// Only a [`super::SubmissionTable`] can prove that a submission did not run, so
/// whatever any other part or instance refuses is [`Verdict::Unknown`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The desk ran it.
    Done {
        /// Receipt number that the desk gave.
        receipt: String,
    },
    /// It did not run, and never will with this ticket.
    NotRun {
        /// Why.
        kind: ErrorKind,
    },
    /// It may run, may have run or may not have run.
    Unknown {
        /// Why nothing more is known.
        error: Error,
    },
}

impl Verdict {
    /// The verdict on a submission that ended.
    pub fn of_outcome(id: RequestId, outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Done { receipt } => Self::Done { receipt: receipt.to_string() },
            Outcome::NotRun { kind } => Self::NotRun { kind: *kind },
            Outcome::Unknown => Self::unknown(id, "the desk's answer was lost"),
        }
    }

    /// The verdict on a claim that the table refused.
    pub fn of_refusal(error: Error) -> Self {
        match error.kind {
            ErrorKind::TicketExpired => Self::NotRun { kind: error.kind },
            _ => Self::Unknown { error },
        }
    }

    /// The verdict when the outcome can't be learned, for the reason `cause`.
    pub fn unknown(id: RequestId, cause: &str) -> Self {
        Self::Unknown { error: outcome_unknown(id, cause) }
    }

    /// The verdict when the issuer of `ticket` gave no answer.
    pub fn issuer_lost(ticket: &Ticket, cause: &str) -> Self {
        let cause = format!("instance {} can't answer: {cause}", ticket.issuer);
        Self::unknown(ticket.id, &cause)
    }

    /// The receipt, or the error that the caller is told.
    ///
    /// # Errors
    ///
    /// An error of the verdict's kind. Unless it is [`Verdict::NotRun`], the error
    /// never says that the submission did not run.
    pub fn into_receipt(self, id: RequestId) -> Result<String> {
        match self {
            Self::Done { receipt } => Ok(receipt),
            Self::NotRun { kind } => Err(Error::new(kind, not_run_detail(id))),
            Self::Unknown { error } => Err(error.may_have_run()),
        }
    }
}

pub(super) fn outcome_unknown(id: RequestId, cause: &str) -> Error {
    let detail = format!(
        "submission {id} may have run: {cause}; send it again with the same ticket, \
         or ask the desk for the status of {id}"
    );
    Error::new(ErrorKind::OutcomeUnknown, detail)
}

fn not_run_detail(id: RequestId) -> String {
    format!("submission {id} was not run and its ticket is void; take a new ticket")
}

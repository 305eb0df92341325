//! How submissions end, and the results of claims and status questions.

use std::sync::Arc;

use super::Attempt;
use crate::error::ErrorKind;

/// The final outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The desk ran it and gave a receipt.
    Done {
        /// Receipt number that the desk gave.
        receipt: Arc<str>,
    },
    /// It is proven that it did not run, and its ticket is void.
    NotRun {
        /// Why it did not run.
        kind: ErrorKind,
    },
    /// It may or may not have run.
    Unknown,
}

/// What the claim of a ticket that wasn't refused gives.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim is the ticket's first: the submission may run, once.
    Run(Attempt),
    /// An earlier claim is running; its outcome comes later.
    Running,
    /// It ended.
    Ended(Outcome),
}

/// What the issuer knows of a ticket's submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketStatus {
    /// No submission came with the ticket; one may be on its way.
    Unused,
    /// It is running.
    Running,
    /// It ended.
    Ended(Outcome),
    /// Nothing is known here.
    Unknown,
}

//! How submissions end, and what a claim on a ticket gives.

use std::sync::Arc;

use super::Attempt;
use crate::error::ErrorKind;

/// How a submission ended; final.
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

/// What a claim on a ticket gave.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The submission may run now, once.
    Run(Attempt),
    /// It is running; its outcome comes later.
    Running,
    /// It ended.
    Ended(Outcome),
}

/// What is known of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketStatus {
    /// It hasn't come; it may be on its way.
    Unused,
    /// It is running.
    Running,
    /// It ended.
    Ended(Outcome),
    /// Nothing is known here.
    Unknown,
}

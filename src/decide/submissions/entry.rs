//! What the book holds of one ticket.

use super::BodyHash;
use super::Outcome;
use crate::names::Timestamp;

/// One ticket that was issued and isn't forgotten.
#[derive(Debug)]
pub(super) struct Entry {
    pub expires: Timestamp,
    pub state: State,
}

/// How far the submission of a ticket has come.
#[derive(Debug)]
pub(super) enum State {
    /// No submission came with it.
    Unused,
    /// An attempt is under way.
    Running {
        /// Body that the ticket was used with.
        body: BodyHash,
    },
    /// The attempt ended.
    Ended {
        /// Body that the ticket was used with.
        body: BodyHash,
        /// How it ended.
        outcome: Outcome,
    },
}

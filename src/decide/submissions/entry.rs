//! What the submission table holds of one ticket.

use super::BodyHash;
use super::Outcome;
use crate::names::Timestamp;

/// One issued ticket that isn't forgotten yet.
#[derive(Debug)]
pub(super) struct Entry {
    pub expires: Timestamp,
    pub state: State,
}

/// State of a ticket's submission.
#[derive(Debug)]
pub(super) enum State {
    /// No submission used the ticket.
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

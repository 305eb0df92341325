//! The one attempt to run a submission, as values that can't be copied.

use super::Outcome;
use crate::names::RequestId;

/// Permission to run one submission, owned by the task that sends it to a desk.
///
/// It can't be cloned, and only a [`super::SubmissionTable`] makes it, once for each ticket.
#[derive(Debug, PartialEq, Eq)]
pub struct Attempt {
    id: RequestId,
}

impl Attempt {
    pub(super) fn new(id: RequestId) -> Self {
        Self { id }
    }

    pub(super) fn into_id(self) -> RequestId {
        self.id
    }

    /// The submission that may run.
    pub fn id(&self) -> RequestId {
        self.id
    }
}

/// Permission to send one submission to one replica of a desk; it must be used at once.
#[derive(Debug, PartialEq, Eq)]
pub struct SendPermit {
    attempt: Attempt,
}

impl SendPermit {
    pub(super) fn new(attempt: Attempt) -> Self {
        Self { attempt }
    }

    /// The submission that may be sent.
    pub fn id(&self) -> RequestId {
        self.attempt.id
    }

    pub(super) fn into_attempt(self) -> Attempt {
        self.attempt
    }
}

/// What follows a send that ended without a receipt, or a connection that wasn't made.
#[derive(Debug, PartialEq, Eq)]
pub enum AfterSend {
    /// No byte of the request was sent: another replica may be tried.
    TryAnother(Attempt),
    /// The submission has its final outcome.
    Ended(Outcome),
}

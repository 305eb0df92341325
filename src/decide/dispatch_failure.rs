//! How a call to a backend server can fail, what the failure proves, and what callers are told.

use crate::error::Error;
use crate::error::ErrorKind;

/// Every way in which a call to a backend server can end without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DispatchFailure {
    /// No connection was made.
    ConnectRefused,
    /// The connection broke before any byte of the request was sent.
    ResetBeforeSend,
    /// The time allowed for sending was over before any byte was sent.
    NotSent,
    /// The caller disconnected before any byte was sent.
    CancelledBeforeSend,
    /// The connection broke after a byte of the request may have arrived.
    ResetAfterSend,
    /// The answer began and broke off.
    AnswerCut,
    /// The answer can't be read, or belongs to another request.
    AnswerDamaged,
    /// No answer came in time.
    TimedOut,
    /// The backend server refused, and says that it did not run the request.
    Refused,
    /// The backend server answered with a failure.
    Failed,
    /// The caller disconnected after a byte may have been sent.
    Cancelled,
    /// No connection to the instance that owns the engine was made.
    OwnerUnreachable,
    /// The instance that owns the engine was lost after it got the request.
    OwnerLost,
}

/// What a failure proves, and what follows from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureRule {
    /// Whether the failure proves that this dispatch did not run.
    pub not_run: bool,
    /// Whether a submission may go to another replica of the desk.
    pub another_replica: bool,
    /// Error kind for the caller of a completion.
    pub completion: ErrorKind,
    /// Error kind for the caller of a submission.
    pub submission: ErrorKind,
}

impl DispatchFailure {
    /// Every failure, for tables and tests.
    pub const ALL: [Self; 13] = [
        Self::ConnectRefused,
        Self::ResetBeforeSend,
        Self::NotSent,
        Self::CancelledBeforeSend,
        Self::ResetAfterSend,
        Self::AnswerCut,
        Self::AnswerDamaged,
        Self::TimedOut,
        Self::Refused,
        Self::Failed,
        Self::Cancelled,
        Self::OwnerUnreachable,
        Self::OwnerLost,
    ];

    /// The rule for this failure.
    pub fn rule(self) -> FailureRule {
        use ErrorKind as Kind;
        let not_run = |another_replica, completion, submission| FailureRule {
            not_run: true,
            another_replica,
            completion,
            submission,
        };
        let unproven = |completion| FailureRule {
            not_run: false,
            another_replica: false,
            completion,
            submission: Kind::OutcomeUnknown,
        };
        match self {
            Self::ConnectRefused => not_run(true, Kind::NoBackend, Kind::NoBackend),
            Self::ResetBeforeSend => not_run(true, Kind::NoBackend, Kind::NoBackend),
            Self::NotSent => not_run(false, Kind::DeadlineTooShort, Kind::TicketExpired),
            Self::CancelledBeforeSend => not_run(false, Kind::NoBackend, Kind::NoBackend),
            Self::ResetAfterSend => unproven(Kind::BackendFailed),
            Self::AnswerCut => unproven(Kind::BackendFailed),
            Self::AnswerDamaged => unproven(Kind::WrongAnswer),
            Self::TimedOut => unproven(Kind::DeadlineExceeded),
            Self::Refused => not_run(false, Kind::Overloaded, Kind::BackendRefused),
            Self::Failed => unproven(Kind::BackendFailed),
            Self::Cancelled => unproven(Kind::BackendFailed),
            Self::OwnerUnreachable => not_run(true, Kind::PeerUnreachable, Kind::NoBackend),
            Self::OwnerLost => unproven(Kind::BackendFailed),
        }
    }

    /// Whether the failure proves that this dispatch did not run.
    pub fn proves_not_run(self) -> bool {
        self.rule().not_run
    }

    /// Whether a submission may go to another replica of the desk.
    pub fn allows_another_replica(self) -> bool {
        self.rule().another_replica
    }

    /// Error kind for the caller of a completion that failed so.
    pub fn completion_kind(self) -> ErrorKind {
        self.rule().completion
    }

    /// Error kind for the caller of a submission that failed so.
    pub fn submission_kind(self) -> ErrorKind {
        self.rule().submission
    }

    /// The failure that a desk's unsuccessful HTTP status means.
    ///
    /// Only the statuses of `Refused` say that the request itself can't be accepted.
    /// Others, among them 408, 409 and every 5xx, may follow work that was done.
    pub fn of_desk_status(status: u16) -> Self {
        match status {
            400 | 401 | 403 | 404 | 405 | 413 | 415 | 422 => Self::Refused,
            _ => Self::Failed,
        }
    }
}

/// Whether a completion that failed with this error may be tried on another engine.
///
/// Only after a proven "not run", so that the error of the last try holds for all of them.
pub fn may_try_another_engine(error: &Error) -> bool {
    let passing = matches!(
        error.kind,
        ErrorKind::NoBackend
            | ErrorKind::NotOwner
            | ErrorKind::Draining
            | ErrorKind::PeerUnreachable
            | ErrorKind::LoadFailed
            | ErrorKind::Overloaded
    );
    passing && error.response().not_run
}

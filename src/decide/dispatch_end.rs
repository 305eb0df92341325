//! How a dispatch can end, and what is said of it.

use crate::error::ErrorKind;

/// Every way in which a call to a backend server can end without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DispatchEnd {
    /// No connection was made.
    ConnectRefused,
    /// The connection broke before any byte of the request was sent.
    ResetBeforeSend,
    /// The connection broke after a byte of the request may have arrived.
    ResetAfterSend,
    /// No answer came in time.
    TimedOut,
    /// The backend server refused, and says that it did not run the request.
    Refused,
    /// The backend server answered with a failure.
    Failed,
    /// The caller went away.
    Cancelled,
    /// The instance that owns the engine was lost after it got the request.
    OwnerLost,
}

impl DispatchEnd {
    /// Every way, for tables and tests.
    pub const ALL: [Self; 8] = [
        Self::ConnectRefused,
        Self::ResetBeforeSend,
        Self::ResetAfterSend,
        Self::TimedOut,
        Self::Refused,
        Self::Failed,
        Self::Cancelled,
        Self::OwnerLost,
    ];

    /// Whether it is proven that the request did not run.
    pub fn proves_not_run(self) -> bool {
        match self {
            Self::ConnectRefused | Self::ResetBeforeSend | Self::Refused => true,
            Self::ResetAfterSend
            | Self::TimedOut
            | Self::Failed
            | Self::Cancelled
            | Self::OwnerLost => false,
        }
    }

    /// What callers are told of a draft that ended so.
    pub fn draft_kind(self) -> ErrorKind {
        match self {
            Self::ConnectRefused | Self::ResetBeforeSend => ErrorKind::NoBackend,
            Self::Refused => ErrorKind::Overloaded,
            Self::TimedOut => ErrorKind::DeadlineExceeded,
            Self::ResetAfterSend | Self::Failed | Self::Cancelled | Self::OwnerLost => {
                ErrorKind::BackendFailed
            }
        }
    }

    /// What callers are told of a submission that ended so.
    pub fn submission_kind(self) -> ErrorKind {
        if self.proves_not_run() { ErrorKind::NoBackend } else { ErrorKind::OutcomeUnknown }
    }
}

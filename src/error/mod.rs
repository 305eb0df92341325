//! The crate's error type and the mapping from error kinds to HTTP responses.
//!
//! Every failure that can reach a caller, a peer or an operator is an [`Error`]:
//! a kind from the closed list [`ErrorKind`], which determines the response, and
//! a sentence that says what failed on which object.

mod causes;
mod error_response;
mod kind;
mod problem;

use std::fmt;
use std::time::Duration;

pub use causes::WithCauses;
pub use error_response::ErrorResponse;
pub use kind::ErrorKind;
pub use problem::Problem;
use serde::Deserialize;
use serde::Serialize;

/// `std::result::Result` with this crate's error type.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure: its kind, what failed, and where the response differs from the kind's default.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Kind, which determines the response.
    pub kind: ErrorKind,
    /// One sentence that says what failed on which object.
    pub detail: String,
    /// Delay before a retry; `None` leaves the kind's default.
    pub retry_after: Option<Duration>,
    /// Whether the work may have run even if the kind's default response says that it didn't.
    #[serde(default)]
    pub may_have_run: bool,
}

impl Error {
    /// An error whose response is the kind's default.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), retry_after: None, may_have_run: false }
    }

    /// Sets the delay before a retry in place of the kind's default.
    #[must_use]
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Marks that an earlier attempt may have run the work, whatever the kind's default says.
    #[must_use]
    pub fn may_have_run(mut self) -> Self {
        self.may_have_run = true;
        self
    }

    /// The kind's response with this error's own retry delay and run state applied.
    pub fn response(&self) -> ErrorResponse {
        let mut response = self.kind.response();
        if self.retry_after.is_some() {
            response.retry_after = self.retry_after;
        }
        response.not_run &= !self.may_have_run;
        response
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Error {}

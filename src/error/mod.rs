//! The closed list of error kinds, and the table from kind to answer.
//!
//! Every failure that can reach a caller, a peer or an operator is one
//! [`Error`]: a kind from the closed list, and a sentence that names the thing.

mod error_response;
mod kind;
mod problem;

use std::fmt;
use std::time::Duration;

pub use error_response::ErrorResponse;
pub use kind::ErrorKind;
pub use problem::Problem;
use serde::Deserialize;
use serde::Serialize;

/// Result with this crate's error.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure: its kind, what it concerns, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Kind from the closed list.
    pub kind: ErrorKind,
    /// One sentence that names the thing.
    pub detail: String,
    /// When trying again makes sense, if it does.
    pub retry_after: Option<Duration>,
    /// Whether the work may have run although the kind says otherwise.
    #[serde(default)]
    pub may_have_run: bool,
}

impl Error {
    /// Makes an error that says nothing about trying again beyond the table's default.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), retry_after: None, may_have_run: false }
    }

    /// Sets when to come back.
    #[must_use]
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Says that the work may have run, by an earlier try, whatever the kind says.
    #[must_use]
    pub fn may_have_run(mut self) -> Self {
        self.may_have_run = true;
        self
    }

    /// The answer that callers get: from the table, with this error's own time to come back.
    pub fn response(&self) -> ErrorResponse {
        let mut answer = self.kind.response();
        if self.retry_after.is_some() {
            answer.retry_after = self.retry_after;
        }
        answer.not_run &= !self.may_have_run;
        answer
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Error {}

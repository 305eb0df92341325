//! Problem documents, the bodies of error responses (RFC 9457).

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Error;
use super::ErrorKind;

/// Body of an error response, `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Short title of the kind.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Sentence that says what failed on which object.
    pub detail: String,
    /// Kind from the closed list.
    pub kind: ErrorKind,
    /// Whether the request is proven not to have run.
    pub not_run: bool,
    /// Seconds to wait before a retry, rounded up; `None` if a retry makes no sense.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

impl From<&Error> for Problem {
    fn from(error: &Error) -> Self {
        let response = error.response();
        Self {
            title: response.title.to_owned(),
            status: response.status,
            detail: error.detail.clone(),
            kind: error.kind,
            not_run: response.not_run,
            retry_after_s: response.retry_after.map(|span| span.as_millis().div_ceil(1000) as u64),
        }
    }
}

impl From<Problem> for Error {
    fn from(problem: Problem) -> Self {
        Self {
            kind: problem.kind,
            detail: problem.detail,
            retry_after: problem.retry_after_s.map(Duration::from_secs),
            may_have_run: !problem.not_run,
        }
    }
}

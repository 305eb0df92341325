//! Problem documents, the error bodies that callers get (RFC 9457).

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Error;
use super::ErrorKind;

/// Body of an error answer, `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Short title of the kind.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Sentence that names the thing.
    pub detail: String,
    /// Kind from the closed list.
    pub kind: ErrorKind,
    /// Whether the request is proven not to have run.
    pub not_run: bool,
    /// Seconds after which trying again makes sense.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

impl From<&Error> for Problem {
    fn from(error: &Error) -> Self {
        let answer = error.response();
        Self {
            title: answer.title.to_owned(),
            status: answer.status,
            detail: error.detail.clone(),
            kind: error.kind,
            not_run: answer.not_run,
            retry_after_s: answer.retry_after.map(|span| span.as_millis().div_ceil(1000) as u64),
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

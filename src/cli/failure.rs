//! Errors that end a command.

use std::fmt;
use std::io;
use std::path::Path;

use super::Exit;
use crate::edge::CallFailure;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Problem;

/// An error that ends a command, and the exit code for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Exit code of the process.
    pub exit: Exit,
    /// Error to be written.
    pub error: Error,
}

impl Failure {
    /// A failure of this error, with this exit code.
    pub fn new(exit: Exit, error: Error) -> Self {
        Self { exit, error }
    }

    /// The failure to read a file or directory, a usage error.
    pub fn unreadable(path: &Path, cause: &io::Error) -> Self {
        let detail = format!("{} can't be read: {cause}", path.display());
        Self::new(Exit::Usage, Error::new(ErrorKind::Malformed, detail))
    }

    /// The failure as one line of JSON: the problem document of an error response.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&Problem::from(&self.error)).unwrap_or_default()
    }
}

impl From<CallFailure> for Failure {
    fn from(failure: CallFailure) -> Self {
        Self::new(Exit::Unreachable, failure.into_error(ErrorKind::PeerUnreachable))
    }
}

impl From<io::Error> for Failure {
    fn from(e: io::Error) -> Self {
        let detail = format!("output can't be written: {e}");
        Self::new(Exit::Failed, Error::new(ErrorKind::Internal, detail))
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        let exit = match error.kind {
            ErrorKind::OutcomeUnknown => Exit::OutcomeUnknown,
            _ if error.response().not_run => Exit::NotRun,
            _ => Exit::Failed,
        };
        Self::new(exit, error)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.error)?;
        match self.error.response().retry_after {
            Some(span) => write!(f, " (try again in {} s)", span.as_millis().div_ceil(1000)),
            None => Ok(()),
        }
    }
}

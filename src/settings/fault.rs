//! A fault found in a settings file.

use std::fmt;

use serde::Serialize;

/// A value that is missing, invalid or unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// JSON path of the value, such as `$.listen.caller`.
    pub path: String,
    /// Why the value is refused.
    pub reason: String,
}

impl Fault {
    /// A fault of the value at this JSON path.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { path: path.into(), reason: reason.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

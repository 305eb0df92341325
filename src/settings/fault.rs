//! One fault of a settings file.

use std::fmt;

use serde::Serialize;

/// What is wrong with one value, named by its JSON path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// JSON path of the value, such as `$.listen.caller`.
    pub path: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Fault {
    /// Names a value and what is wrong with it.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { path: path.into(), reason: reason.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

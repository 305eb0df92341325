//! One finding of a check.

use std::fmt;

use serde::Serialize;

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The published value and the place in it, such as `root.json $.preset`.
    pub place: String,
    /// What is wrong.
    pub reason: String,
}

impl Finding {
    /// Names a place and what is wrong with it.
    pub fn new(place: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { place: place.into(), reason: reason.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)
    }
}

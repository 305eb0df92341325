//! One finding of a configuration check.

use std::fmt;

use serde::Serialize;

/// Something wrong in a configuration, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The document and the place in it, such as `root.json $.preset`.
    pub place: String,
    /// What is wrong.
    pub reason: String,
}

impl Finding {
    /// A finding at `place`.
    pub fn new(place: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { place: place.into(), reason: reason.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)
    }
}

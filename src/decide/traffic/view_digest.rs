//! What an instance tells peers of its view of a topic.

use serde::Deserialize;
use serde::Serialize;

/// Summary of an instance's view of a topic, by which peers see whether they lack changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDigest {
    /// Revision of the newest change that peers need; 0 if there's none.
    pub newest: u64,
    /// Revision up to which the view is complete.
    pub as_of: Option<u64>,
    /// Time since the view was current, in ms; `None` if it never was.
    pub age_ms: Option<u64>,
    /// Era of the revisions; 0 until it is known.
    #[serde(default)]
    pub era: u64,
    /// Revision after which it knows of every removal, so that `newest` tells of those only.
    #[serde(default)]
    pub removals_after: u64,
}

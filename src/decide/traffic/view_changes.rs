//! Changes of a topic, as one instance sends them to another.

use serde::Deserialize;
use serde::Serialize;

use super::PublishedEvent;
use crate::decide::transfer::ValueReference;

/// Changes of a topic that bring a peer's view up to date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewChanges {
    /// Whether `events` lists all items, so that any other item is gone.
    pub whole: bool,
    /// Revision up to which the changes are complete; `None` if nothing is known.
    pub as_of: Option<u64>,
    /// Time since the sender's view was current, in ms; `None` if it never was.
    pub age_ms: Option<u64>,
    /// Whether the published state was unreachable lately, so that items may have expired.
    pub after_outage: bool,
    /// Time since the end of the last outage of the published state, in ms; `None` if there was
    /// none lately.
    #[serde(default)]
    pub outage_ended_ms: Option<u64>,
    /// Era of the revisions; 0 until it is known.
    #[serde(default)]
    pub era: u64,
    /// Changes, by revision.
    pub events: Vec<PublishedEvent>,
    /// Values of `events` that are left empty there; only for a receiver that takes references.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub references: Vec<ValueReference>,
}

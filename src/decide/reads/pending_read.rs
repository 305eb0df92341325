//! A read that has no answer yet.

use serde::Serialize;

/// A read of a topic of the published state that lasts for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PendingRead {
    /// Name of the topic.
    pub topic: &'static str,
    /// Time since it began, in ms.
    pub pending_ms: u64,
}

//! A topic that can't be read.

use serde::Serialize;

use super::ReadFailure;

/// A topic of the published state whose reads fail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FailingRead {
    /// Name of the topic.
    pub topic: &'static str,
    /// For how long, and why.
    #[serde(flatten)]
    pub failure: ReadFailure,
    /// Time since a read succeeded, in ms; `None` if none ever did.
    pub last_read_ms: Option<u64>,
}

//! Replies to requests for a run permit.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Reply to a request for a run permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request may run; the home instance must be told when it ends.
    Granted {
        /// Whether it must share the engine with no other.
        alone: bool,
    },
    /// The home instance must ask the owner of the first engine, then decide again.
    AskFirst,
    /// Another copy of the request may be running.
    Busy {
        /// Time after which to ask again.
        retry_after: Duration,
    },
    /// The request has too many strikes.
    Refused {
        /// Time until its strikes expire.
        retry_after: Duration,
    },
}

//! Answer to a request for a permit.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request may run; its end must be told.
    Granted {
        /// Whether it must share the engine with no other.
        alone: bool,
    },
    /// The home must ask the owner of the first engine, then decide again.
    AskFirst,
    /// Another copy may be running.
    Busy {
        /// When to ask again.
        retry_after: Duration,
    },
    /// The request crashed engines.
    Refused {
        /// Time until that is forgotten.
        retry_after: Duration,
    },
}

//! Messages between instances about requests that crash engines.

use serde::Deserialize;
use serde::Serialize;

use super::Clearance;
use super::Fingerprint;
use super::PermitReply;
use super::Strike;
use crate::names::BackendName;
use crate::names::RequestId;

/// Body of `POST /peer/v1/quarantine`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// Requests were running when an engine's incarnation ended.
    Struck(Vec<Strike>),
    /// Strikes were cleared and don't count any more.
    Cleared(Clearance),
    /// Asks the home instance for a run permit.
    Ask {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// The request.
        request: RequestId,
        /// First engine of the request's adapter.
        first: BackendName,
        /// Strikes that the asker knows of.
        strikes: Vec<Strike>,
    },
    /// Tells the home instance that a request that it permitted ended.
    Finished {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// The request.
        request: RequestId,
        /// Strikes that it got.
        strikes: Vec<Strike>,
    },
    /// Asks the owner of the first engine whether the request runs there.
    Confirm {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// Strikes that the home instance knows of.
        strikes: Vec<Strike>,
    },
}

/// Reply to a [`QuarantineMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineReply {
    /// Acknowledges a message that asks nothing.
    Noted,
    /// Reply to `Ask`.
    Permit(PermitReply),
    /// Reply to `Confirm`.
    First {
        /// Whether the request runs there.
        occupied: bool,
        /// Strikes that the owner knows of.
        strikes: Vec<Strike>,
    },
}

//! Messages to and from desks, the plain services beside the engines.

use serde::Deserialize;
use serde::Serialize;

use crate::names::RequestId;

/// Body of `POST /v1/submissions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeskSubmission {
    /// Identifier of the submission.
    pub submission_id: RequestId,
    /// What the caller submits.
    pub body: serde_json::Value,
}

/// Answer of a desk that ran a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeskReceipt {
    /// Identifier of the submission.
    pub submission_id: RequestId,
    /// Receipt number that the desk gave.
    pub receipt: String,
}

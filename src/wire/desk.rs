//! Messages to and from desks, the backend servers that aren't model engines.

use serde::Deserialize;
use serde::Serialize;

use crate::names::RequestId;

/// Body of `POST /v1/submissions` at a desk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeskSubmission {
    /// Identifier of the submission.
    pub submission_id: RequestId,
    /// The caller's JSON body.
    pub body: serde_json::Value,
}

/// Response of a desk that ran a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeskReceipt {
    /// Identifier of the submission.
    pub submission_id: RequestId,
    /// Receipt number from the desk.
    pub receipt: String,
}

//! Messages of the HTTP interface for callers.

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::AdapterName;
use crate::names::RequestId;
use crate::names::Version;
pub use crate::wire::version_choice::VersionChoice;

/// Highest priority of a request.
pub const MAX_PRIORITY: u8 = 9;

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// Adapter that must generate the text.
    pub adapter: AdapterName,
    /// Version that must generate the text; the newest if absent.
    #[serde(default)]
    pub version: VersionChoice,
    /// Text to continue.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default = "CompletionRequest::default_max_tokens")]
    pub max_tokens: u32,
    /// Priority, 0 (low) to 9 (high); if absent, the preset's for the adapter, or a default.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Time within which the first token must arrive, in milliseconds; the settings' default
    /// if absent.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl CompletionRequest {
    /// Checks the limits that the types don't express.
    ///
    /// # Errors
    ///
    /// `Malformed` if the priority is out of range.
    pub fn check(&self) -> Result<()> {
        match self.priority {
            Some(priority) if priority > MAX_PRIORITY => {
                let detail = format!("priority {priority} is over {MAX_PRIORITY}");
                Err(Error::new(ErrorKind::Malformed, detail))
            }
            _ => Ok(()),
        }
    }

    fn default_max_tokens() -> u32 {
        256
    }
}

/// Response that isn't streamed, and the last event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Identifier of the request.
    pub id: RequestId,
    /// Adapter that generated the text.
    pub adapter: AdapterName,
    /// Version that generated the text.
    pub version: Version,
    /// Generated text; empty in the last event of a stream.
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u32,
}

/// One token of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// Identifier of the request.
    pub id: RequestId,
    /// Text of the token.
    pub text: String,
}

/// Header that carries the ticket of a submission.
pub const TICKET_HEADER: &str = "ticket";

/// Response to `POST /v1/tickets`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketReply {
    /// Identifier of the submission, which is also sent to the desk.
    pub id: RequestId,
    /// The ticket to send with the submission.
    pub ticket: String,
    /// Seconds until the ticket expires; after that, its submission never starts to run.
    pub expires_in_s: u64,
}

/// Body of `POST /v1/submissions`; the ticket goes into the `Ticket` header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SubmissionRequest(pub serde_json::Value);

/// Response to a submission that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionReply {
    /// Identifier of the submission.
    pub id: RequestId,
    /// Receipt number from the desk.
    pub receipt: String,
}

/// Response to `GET /v1/submissions`: the state of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionStatus {
    /// Identifier of the submission.
    pub id: RequestId,
    /// State of the submission.
    #[serde(flatten)]
    pub state: SubmissionState,
}

/// State of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum SubmissionState {
    /// The ticket has not been used.
    Unused,
    /// The submission is running.
    Running,
    /// The submission ran.
    Done {
        /// Receipt number from the desk.
        receipt: String,
    },
    /// The submission is proven not to have run, and its ticket can't be used any more.
    NotRun,
    /// The submission may or may not have run.
    Unknown,
}

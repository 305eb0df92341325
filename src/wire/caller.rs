//! Messages to and from callers.

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
    /// Adapter that must answer.
    pub adapter: AdapterName,
    /// Version that must answer; the newest if absent.
    #[serde(default)]
    pub version: VersionChoice,
    /// Text to continue.
    pub prompt: String,
    /// Most tokens to generate.
    #[serde(default = "CompletionRequest::default_max_tokens")]
    pub max_tokens: u32,
    /// Priority, 0 (low) to 9 (high).
    #[serde(default)]
    pub priority: Option<u8>,
    /// Time within which the first token must arrive, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl CompletionRequest {
    /// Checks what the types don't.
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

/// Whole answer, and last event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Identifier of the request.
    pub id: RequestId,
    /// Adapter that answered.
    pub adapter: AdapterName,
    /// Version that answered.
    pub version: Version,
    /// Generated text; empty at the end of a stream.
    pub text: String,
    /// How many tokens were generated.
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

/// Answer of `POST /v1/tickets`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketReply {
    /// Identifier of the submission, by which the desk knows it.
    pub id: RequestId,
    /// The ticket, to be sent with the submission.
    pub ticket: String,
    /// Seconds until it expires; after that its submission never starts to run.
    pub expires_in_s: u64,
}

/// Body of `POST /v1/submissions`; the ticket goes into the `Ticket` header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SubmissionRequest(pub serde_json::Value);

/// Answer to a submission that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionReply {
    /// Identifier of the submission.
    pub id: RequestId,
    /// Receipt number that the desk gave.
    pub receipt: String,
}

/// Answer of `GET /v1/submissions`: what became of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionStatus {
    /// Identifier of the submission.
    pub id: RequestId,
    /// Its state.
    #[serde(flatten)]
    pub state: SubmissionState,
}

/// State of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum SubmissionState {
    /// The ticket has not been used.
    Unused,
    /// It is running.
    Running,
    /// It ran.
    Done {
        /// Receipt number that the desk gave.
        receipt: String,
    },
    /// It is proven not to have run, and the ticket is void.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

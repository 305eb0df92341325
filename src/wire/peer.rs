//! Messages between entry instances about requests, submissions and their own state.

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::names::AdapterRef;
use crate::names::BackendName;
use crate::names::Generation;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::names::RequestId;

/// Body of `POST /peer/v1/dispatch`, which passes a request to the owner of its engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Engine that the entry instance chose.
    pub engine: BackendName,
    /// Adapter and version, as the entry instance resolved them.
    pub adapter: AdapterRef,
    /// Generation that the version was resolved from.
    pub generation: Generation,
    /// Text to continue.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority, 0 (low) to 9 (high).
    pub priority: u8,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Trace context, as in the `traceparent` header.
    pub traceparent: Option<String>,
}

/// One frame of the response to a [`Dispatch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchEvent {
    /// The engine has started to generate.
    Started {
        /// Adapter that the engine says it runs.
        adapter: AdapterRef,
    },
    /// One generated token.
    Token {
        /// Text of the token.
        text: String,
    },
    /// End of a complete response.
    Done {
        /// Adapter that the engine says it ran.
        adapter: AdapterRef,
        /// Number of generated tokens.
        tokens: u32,
    },
    /// End of a response that failed.
    Failed {
        /// Why it failed.
        error: Error,
    },
}

/// Body of `POST /peer/v1/submit`, which passes a submission to the instance that issued its
/// ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedSubmission {
    /// The ticket as the caller sent it.
    pub ticket: String,
    /// The caller's JSON body, as bytes.
    pub body: Vec<u8>,
    /// Trace context, as in the `traceparent` header.
    pub traceparent: Option<String>,
}

/// Body of `POST /peer/v1/status`; the response is the instance's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusRequest {}

/// Body of `POST /peer/v1/explain`; the response is what the instance decided about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainRequest {
    /// Identifier of the request.
    pub request_id: RequestId,
}

/// Body of `POST /peer/v1/outcome`; the response is the submission's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRequest {
    /// The ticket as the caller sent it.
    pub ticket: String,
}

/// Body of `POST /peer/v1/hello` and of its response: the sender's own state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the sender.
    pub name: InstanceName,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Generation in effect at the sender.
    pub generation: Option<Generation>,
    /// Whether the sender is shutting down.
    pub draining: bool,
}

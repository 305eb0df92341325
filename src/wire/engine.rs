//! Messages to and from model engines.

use serde::Deserialize;
use serde::Serialize;

use crate::names::AdapterRef;
use crate::names::FencingNumber;
use crate::names::Incarnation;
use crate::names::RequestId;

/// Body of `POST /v1/generate`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Identifier that the engine repeats in each event.
    pub request_id: RequestId,
    /// Adapter version that must already be loaded.
    pub adapter: AdapterRef,
    /// Text to continue.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority, 0 (low) to 9 (high).
    pub priority: u8,
    /// Fencing number of the engine's owner.
    pub fencing: FencingNumber,
}

/// One server-sent event of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// First event: the request that the engine runs, and the adapter that it runs it on.
    Started {
        /// Identifier of the request.
        request_id: RequestId,
        /// Adapter that runs the request.
        adapter: AdapterRef,
        /// Incarnation of the engine.
        incarnation: Incarnation,
    },
    /// One generated token.
    Token {
        /// Identifier of the request.
        request_id: RequestId,
        /// Text of the token.
        text: String,
    },
    /// Last event of a complete generation.
    Done {
        /// Identifier of the request.
        request_id: RequestId,
        /// Adapter that ran the request.
        adapter: AdapterRef,
        /// Number of generated tokens.
        tokens: u32,
    },
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Order to carry out.
    #[serde(flatten)]
    pub order: Order,
    /// Fencing number of the engine's owner.
    pub fencing: FencingNumber,
}

/// Order of an engine's owner to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Load an adapter into a free slot.
    Load {
        /// Adapter to load.
        adapter: AdapterRef,
    },
    /// Unload an adapter if no request runs on it.
    UnloadIfIdle {
        /// Adapter to unload.
        adapter: AdapterRef,
    },
    /// Raise the highest fencing number that the engine has seen, and do nothing else.
    Fence,
}

/// Response to an order that was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Highest fencing number that the engine has seen.
    pub fencing: FencingNumber,
}

/// Why an engine refused a request or an order, neither of which was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRefusal {
    /// The adapter isn't loaded.
    NotLoaded,
    /// The fencing number is below the highest that the engine has seen.
    OldFencing,
    /// No slot is free.
    NoSlot,
    /// The adapter is in use.
    Busy,
    /// The batch and its queue are full.
    Full,
    /// The weight store didn't deliver the adapter.
    LoadFailed,
    /// The request can't be parsed.
    Malformed,
}

/// Body of the response to a refused request or order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Why the engine refused.
    pub refusal: EngineRefusal,
    /// Highest fencing number that the engine has seen.
    pub fencing: FencingNumber,
}

/// Response to `GET /v1/report`, which may be out of date, and `GET /v1/running`, which isn't.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Highest fencing number that the engine has seen.
    pub fencing: FencingNumber,
    /// Adapters in its slots.
    pub loaded: Vec<LoadedAdapter>,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Whether the engine is leaving and takes no new work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// One adapter in a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedAdapter {
    /// The adapter.
    pub adapter: AdapterRef,
    /// Number of requests that run on it.
    pub running: u32,
}

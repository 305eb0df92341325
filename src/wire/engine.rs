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
    /// Identifier that the engine echoes.
    pub request_id: RequestId,
    /// Adapter that must be loaded already.
    pub adapter: AdapterRef,
    /// Text to continue.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Priority, 0 (low) to 9 (high).
    pub priority: u8,
    /// Fencing number of the owner.
    pub fencing: FencingNumber,
}

/// One server-sent event of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// First event: what the engine runs, and for whom.
    Started {
        /// Identifier of the request.
        request_id: RequestId,
        /// Adapter that serves it.
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
    /// Last event of a whole answer.
    Done {
        /// Identifier of the request.
        request_id: RequestId,
        /// Adapter that served it.
        adapter: AdapterRef,
        /// How many tokens were generated.
        tokens: u32,
    },
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// What to do.
    #[serde(flatten)]
    pub order: Order,
    /// Fencing number of the owner.
    pub fencing: FencingNumber,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Load an adapter into a free slot.
    Load {
        /// Adapter to load.
        adapter: AdapterRef,
    },
    /// Unload an adapter if nothing runs on it.
    UnloadIfIdle {
        /// Adapter to unload.
        adapter: AdapterRef,
    },
    /// Only raise the engine's highest fencing number.
    Fence,
}

/// Answer to an order that was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Highest fencing number that the engine has seen.
    pub fencing: FencingNumber,
}

/// Why an engine refused a request or an order; its work was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRefusal {
    /// The adapter isn't loaded.
    NotLoaded,
    /// The fencing number is older than the highest seen.
    OldFencing,
    /// No slot is free.
    NoSlot,
    /// The adapter is in use.
    Busy,
    /// The batch and its queue are full.
    Full,
    /// The weight store didn't deliver the adapter.
    LoadFailed,
    /// The request can't be read.
    Malformed,
}

/// Body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Why the engine refused.
    pub refusal: EngineRefusal,
    /// Highest fencing number that the engine has seen.
    pub fencing: FencingNumber,
}

/// Answer of `GET /v1/report` (lagging) and `GET /v1/running` (direct).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Highest fencing number that the engine has seen.
    pub fencing: FencingNumber,
    /// Adapters in its slots.
    pub loaded: Vec<LoadedAdapter>,
    /// How old the report is, in milliseconds.
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
    /// How many requests run on it.
    pub running: u32,
}

//! Messages to operators.

use serde::Deserialize;
use serde::Serialize;

use crate::names::AdapterRef;
use crate::names::BackendName;
use crate::names::DataCentre;
use crate::names::Generation;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::names::PresetName;
use crate::names::RequestId;

/// Answer of `GET /operator/v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Generation in effect, if any.
    pub generation: Option<Generation>,
    /// Preset in force, if any.
    pub preset: Option<PresetName>,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Peers that it believes to be live.
    pub live_peers: Vec<InstanceName>,
    /// Engines that it owns.
    pub engines: Vec<EngineStatus>,
}

/// One owned engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Name of the engine.
    pub engine: BackendName,
    /// Adapters in its slots.
    pub loaded: Vec<AdapterRef>,
    /// How many adapters it holds at once.
    pub slots: usize,
    /// How many requests it runs at once.
    pub batch: usize,
    /// Requests that run on it.
    pub running: usize,
    /// Requests that wait for it.
    pub waiting: usize,
}

/// Answer of `GET /operator/v1/fleet`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Every listed instance, the answering one first.
    pub members: Vec<FleetMember>,
}

/// One listed instance and what it answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetMember {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
    /// Its state, if it answered.
    pub status: Option<Status>,
    /// Why it didn't answer, otherwise.
    pub error: Option<String>,
}

/// Answer of `GET /operator/v1/requests/ID`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Whether the caller's own entry instance answered.
    pub from_entry: bool,
    /// What was decided, in order.
    pub steps: Vec<ExplanationStep>,
}

/// One decision about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplanationStep {
    /// Instance that decided.
    pub instance: InstanceName,
    /// Milliseconds since the request arrived at that instance.
    pub at_ms: u64,
    /// What was decided and why.
    pub text: String,
}

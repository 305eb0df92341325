//! Messages of the HTTP interface for operators.

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

/// Response to `GET /operator/v1/status`: the state of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Generation of the configuration in effect; `None` before the first one.
    pub generation: Option<Generation>,
    /// Preset in force; `None` before the first configuration.
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
    /// Number of adapters that it can hold at once.
    pub slots: usize,
    /// Number of requests that it can run at once.
    pub batch: usize,
    /// Number of requests that run on it.
    pub running: usize,
    /// Number of requests that wait for it at the owner.
    pub waiting: usize,
}

/// Response to `GET /operator/v1/fleet`: the state of all listed instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// All listed instances, the responding one first.
    pub members: Vec<FleetMember>,
}

/// One listed instance with its state, or the reason why there is none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetMember {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
    /// Its state; `None` if it didn't respond.
    pub status: Option<Status>,
    /// Why it didn't respond; `None` if it did.
    pub error: Option<String>,
}

/// Response to `GET /operator/v1/requests/ID`: the decisions about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Whether the entry instance that the caller used is among those that responded.
    pub from_entry: bool,
    /// Decisions; those of the caller's entry instance come first.
    pub steps: Vec<ExplanationStep>,
}

/// One decision about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplanationStep {
    /// Instance that decided.
    pub instance: InstanceName,
    /// Milliseconds from the request's arrival at that instance to the decision.
    pub at_ms: u64,
    /// What was decided and why.
    pub text: String,
}

//! What a replica publishes about itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::AdapterName;
use crate::names::BackendName;
use crate::names::DataCentre;
use crate::names::ModelName;
use crate::names::ServiceName;

/// Whether a replica takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// A base model that a replica holds, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The base model.
    pub name: ModelName,
    /// Version of its weights.
    pub version: u64,
    /// Adapters that are ready, with their versions.
    pub adapters: Vec<(AdapterName, u64)>,
}

/// What a replica publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// Name of the replica.
    pub name: BackendName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it serves on.
    pub addr: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Whether it takes new work.
    pub state: ReplicaState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Unix milliseconds of its start; a higher number is a later start.
    pub started_ms: u64,
    /// What it holds.
    pub models: Vec<HeldModel>,
    /// Time until it is gone, if it was told.
    pub leaves_in: Option<Duration>,
}

impl ReplicaEntry {
    /// Whether another entry differs from this one in nothing but adapters and time left.
    pub fn is_alike(&self, other: &Self) -> bool {
        let bare = |entry: &Self| {
            let bare = |model: &HeldModel| (model.name.clone(), model.version);
            let models: Vec<_> = entry.models.iter().map(bare).collect();
            (entry.service.clone(), entry.addr, entry.state, entry.slots, entry.started_ms, models)
        };
        bare(self) == bare(other)
    }
}

//! The entry that a replica publishes about itself, by which the instances discover it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::AdapterName;
use crate::names::BackendName;
use crate::names::DataCentre;
use crate::names::ModelName;
use crate::names::ServiceName;
use crate::names::SoftwareVersion;

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// It accepts new requests.
    Ready,
    /// It finishes its requests in progress and shuts down.
    Draining,
}

/// A base model that a replica holds, with the adapters that it holds of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The base model.
    pub name: ModelName,
    /// Version of its weights.
    pub version: u64,
    /// Adapters that are ready to serve, with their versions.
    pub adapters: Vec<(AdapterName, u64)>,
}

/// The published entry of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// Identifies the replica, also across restarts.
    pub name: BackendName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Version of its software; empty if the entry names none.
    pub software: SoftwareVersion,
    /// Address that it serves on.
    pub addr: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Whether it accepts new requests.
    pub state: ReplicaState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Start time in Unix milliseconds; a higher value means that it has restarted.
    pub started_ms: u64,
    /// Heartbeats of this start so far; at most as many as there was time for.
    pub heartbeats: u64,
    /// Base models that it holds, with their adapters.
    pub models: Vec<HeldModel>,
    /// Time until it is gone; `None` if it wasn't told to leave.
    pub leaves_in: Option<Duration>,
}

impl ReplicaEntry {
    /// Whether another entry differs from this one in nothing but adapters and `leaves_in`.
    pub fn equals_except_adapters(&self, other: &Self) -> bool {
        let bare = |entry: &Self| {
            let bare = |model: &HeldModel| (model.name.clone(), model.version);
            let models: Vec<_> = entry.models.iter().map(bare).collect();
            let program = (entry.service.clone(), entry.software.clone(), entry.started_ms);
            (program, entry.addr, entry.state, entry.slots, models)
        };
        bare(self) == bare(other)
    }
}

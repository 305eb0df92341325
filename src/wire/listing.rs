//! The platform's list of live and leaving instances.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::names::BackendName;
use crate::names::DataCentre;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::names::ModelName;

/// The list as the platform returns it; it lags behind the real state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Entry instances.
    pub entries: Vec<ListedEntry>,
    /// Backend servers.
    pub backends: Vec<ListedBackend>,
}

/// One entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEntry {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address of its listener for peers.
    pub peer_addr: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Whether it is live or leaving.
    pub state: ListedState,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBackend {
    /// Name of the backend server.
    pub name: BackendName,
    /// Address that it serves on.
    pub addr: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Incarnation of the process behind the address, if the platform knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Whether it is live or leaving.
    pub state: ListedState,
    /// What it serves.
    #[serde(flatten)]
    pub role: BackendRole,
}

/// State of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It takes new work.
    Live,
    /// It takes no new work.
    Leaving,
}

/// What a backend server serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "snake_case")]
pub enum BackendRole {
    /// A model engine.
    Engine {
        /// Base model that it runs.
        model: ModelName,
        /// Number of adapters that it can hold at once.
        slots: u32,
        /// Number of requests that it can run at once.
        batch: u32,
        /// What it does with orders that carry an old fencing number.
        fencing: FencingMode,
    },
    /// A service whose calls must not be repeated.
    Desk,
}

/// What an engine does with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingMode {
    /// It refuses the order.
    Refuse,
    /// It carries out the order nevertheless.
    Ignore,
}

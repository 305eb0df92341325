//! What instances tell each other about the instances that they know.
//!
//! Beats change all the time, the rest of a record hardly ever. So a message holds
//! whole records only of instances that are new or changed, and of the others a tag
//! and the beat. One that meets a tag it doesn't know asks for everything.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::names::InstanceName;

/// What one instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Its name.
    pub name: InstanceName,
    /// Address of its listener for peers.
    pub addr: SocketAddr,
    /// Unix milliseconds of its start.
    pub started_ms: u64,
    /// Grows while it lives.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Whether it has run long enough to know the fleet.
    pub settled: bool,
    /// Whether it is shutting down.
    pub draining: bool,
}

impl PeerRecord {
    /// Stands for all of the record but its beat.
    pub fn tag(&self) -> u32 {
        let Self { name, addr, started_ms, settled, draining, .. } = self;
        let text = format!("{name} {addr} {started_ms} {settled} {draining}");
        xxh3_64(text.as_bytes()) as u32
    }
}

/// What one instance tells another about those that it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerGossip {
    /// The sender's own record, then those that the receiver may not know.
    pub records: Vec<PeerRecord>,
    /// Tags and beats of the others.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<(u32, u64)>,
    /// Whether the sender met a tag that it doesn't know, and needs all records.
    #[serde(rename = "lacks")]
    pub needs_all_records: bool,
}

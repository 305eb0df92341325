//! Gossip message by which instances tell each other about the instances that they know.
//!
//! Heartbeats change all the time, the rest of a record hardly ever. So a message has whole
//! records only of instances that are new or changed, and of the others a tag, which is a hash
//! of the record, and the heartbeat. A receiver that doesn't know a tag asks for all records.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::names::InstanceName;

/// Record that an instance spreads about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Name, which identifies the instance.
    pub name: InstanceName,
    /// Address on which it listens for peers.
    pub addr: SocketAddr,
    /// Start time in Unix milliseconds; a higher value means that it has restarted.
    pub started_ms: u64,
    /// Heartbeat counter, which it increases in each round of gossip.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Whether it has run long enough to know the fleet.
    pub settled: bool,
    /// Whether it is shutting down.
    pub draining: bool,
}

impl PeerRecord {
    /// Hash of the record without its heartbeat.
    pub fn tag(&self) -> u32 {
        let Self { name, addr, started_ms, settled, draining, .. } = self;
        let text = format!("{name} {addr} {started_ms} {settled} {draining}");
        xxh3_64(text.as_bytes()) as u32
    }
}

/// What one instance tells another about the instances that it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerGossip {
    /// The sender's own record, then those that the receiver may not know.
    pub records: Vec<PeerRecord>,
    /// Tags and heartbeats of the others.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<(u32, u64)>,
    /// Whether the sender was sent a tag that it doesn't know, or no message at all yet.
    #[serde(rename = "lacks")]
    pub needs_all_records: bool,
}

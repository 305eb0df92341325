//! Gossip message by which instances tell each other about the instances that they know.
//!
//! Heartbeats change all the time, the rest of a record hardly ever. So a message has whole
//! records only of instances that are new or changed, and of the others a tag, which is a hash
//! of the record, and the heartbeat. A receiver that doesn't know a tag asks for all records.
//!
//! Instances that know the same live instances need no tags: the heartbeats follow in the order
//! of the tags, one byte each, and a hash of all tags, the roster, tells whether that holds. Of a
//! heartbeat the lowest byte is enough, since it advances by less than half of that range before
//! its instance is forgotten.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::names::DataCentre;
use crate::names::InstanceName;
use crate::names::ServiceName;

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
    /// Whether nobody is to rely on it: it is shutting down, or can't be called.
    pub draining: bool,
    /// Data centre that it runs in; `None` if a process that doesn't say so passed the record on.
    #[serde(default)]
    pub data_centre: Option<DataCentre>,
    /// Whether it reads [`PeerGossip::beats`]; older processes don't.
    #[serde(default)]
    pub reads_beats: bool,
    /// Services whose replicas it doesn't reach.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cut_from: Vec<ServiceName>,
    /// Whether it can't give orders, since services of model engines are among these.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub gives_no_orders: bool,
    /// Bandwidth of its link, in Mbit/s; 0 if it isn't known.
    #[serde(default)]
    pub link_mbps: u32,
}

impl PeerRecord {
    /// Class of its link by bandwidth: each is twice as fast as the one below.
    pub fn link_class(&self) -> u32 {
        self.link_mbps.checked_ilog2().unwrap_or(0)
    }

    /// Hash of the record without its heartbeat.
    pub fn tag(&self) -> u32 {
        let Self { name, addr, started_ms, settled, draining, .. } = self;
        let mut text = format!("{name} {addr} {started_ms} {settled} {draining}");
        if !self.cut_from.is_empty() {
            text.push_str(&format!(" {:?} {}", self.cut_from, self.gives_no_orders));
        }
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
    /// Hash of the tags of all instances that are live to the sender; 0 if it isn't told.
    #[serde(default)]
    pub roster: u64,
    /// Heartbeats of these instances.
    #[serde(default, rename = "low_beats")]
    pub beats: Beats,
}

impl PeerGossip {
    /// A message that asks for what the receiver knows and has nothing to tell.
    pub fn without_sender(needs_all_records: bool) -> Self {
        Self {
            records: Vec::new(),
            heartbeats: Vec::new(),
            needs_all_records,
            roster: 0,
            beats: Beats::None,
        }
    }
}

/// Lowest bytes of heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Beats {
    /// None are told.
    #[default]
    None,
    /// One byte for each instance of the roster, in the order of the tags.
    ByRoster(Bytes),
    /// For each instance its tag, as four bytes with the lowest first, and its byte.
    ByTag(Bytes),
}

/// Bytes of one instance in [`Beats::ByTag`].
const TAGGED_BEAT_BYTES: usize = 5;

impl Beats {
    /// Heartbeats of the roster, in the order of the tags.
    pub fn by_roster(beats: impl Iterator<Item = u64>) -> Self {
        Self::ByRoster(beats.map(|heartbeat| heartbeat as u8).collect())
    }

    /// Heartbeats with the tags that they belong to.
    pub fn by_tag(beats: impl Iterator<Item = (u32, u64)>) -> Self {
        let mut bytes = Vec::new();
        for (tag, heartbeat) in beats {
            bytes.extend_from_slice(&tag.to_le_bytes());
            bytes.push(heartbeat as u8);
        }
        Self::ByTag(bytes.into())
    }

    /// Tags and lowest bytes of the heartbeats; `roster` are the receiver's own tags, in their
    /// order, and count only if `is_same_roster`.
    pub fn decode(&self, roster: &[u32], is_same_roster: bool) -> Vec<(u32, u8)> {
        match self {
            Self::ByRoster(bytes) if is_same_roster && bytes.len() == roster.len() => {
                roster.iter().copied().zip(bytes.iter().copied()).collect()
            }
            Self::ByTag(bytes) => bytes
                .chunks_exact(TAGGED_BEAT_BYTES)
                .map(|entry| {
                    (u32::from_le_bytes([entry[0], entry[1], entry[2], entry[3]]), entry[4])
                })
                .collect(),
            Self::None | Self::ByRoster(_) => Vec::new(),
        }
    }
}

/// The heartbeat that a lowest byte stands for, next to the known one; `None` if it is no later, or more
/// than a heartbeat can be.
pub fn advance_heartbeat(known: u64, lowest: u8) -> Option<u64> {
    let step = lowest.wrapping_sub(known as u8);
    if step > 0 && step < 128 { known.checked_add(u64::from(step)) } else { None }
}

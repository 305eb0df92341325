//! Messages between relays.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::HeldModel;
use crate::decide::traffic::Load;
use crate::decide::traffic::PeerRecord;
use crate::decide::traffic::PlanHandover;
use crate::decide::traffic::UseNews;
use crate::names::BackendName;

/// Path of [`Exchange`].
pub const EXCHANGE_PATH: &str = "/relay/v1/exchange";
/// Path of [`LoadRequest`].
pub const LOAD_PATH: &str = "/relay/v1/load";
/// Path of [`PublishedRead`].
pub const PUBLISHED_PATH: &str = "/relay/v1/published";

/// Path of [`Handover`].
pub const HANDOVER_PATH: &str = "/relay/v1/handover";

/// Path of [`UseNotice`].
pub const USE_PATH: &str = "/relay/v1/use";

/// What a replica holds, by the instance that gives it orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedNews {
    /// The replica.
    pub replica: BackendName,
    /// Unix milliseconds of the replica's start.
    pub started_ms: u64,
    /// What it holds.
    pub models: Vec<HeldModel>,
}

/// Work that the sender has at one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// The replica.
    pub replica: BackendName,
    /// All work together.
    pub load: Load,
    /// Requests by what they use.
    pub in_use: Vec<(AdapterKey, u32)>,
}

/// Revisions of the newest published changes that the sender has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// Of the operator's items.
    pub operator: u64,
    /// Of the replicas' entries.
    pub replicas: u64,
}

/// What instances tell each other; the answer is one too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Instances that the sender knows of, itself first.
    pub records: Vec<PeerRecord>,
    /// Highest fencing number that the sender has heard of.
    pub fence: u64,
    /// Replicas that the sender gives orders.
    pub owned: Vec<OwnedNews>,
    /// Work that the sender has.
    pub loads: Vec<ReplicaLoad>,
    /// Serial of the sender's last [`UseNotice`].
    pub use_serial: u64,
    /// Requests suspected of crashing replicas, with their strikes.
    pub strikes: Vec<(u64, u32)>,
    /// Published changes that the sender has.
    pub revisions: Revisions,
}

/// Asks the instance that gives a replica its orders for a load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// The replica.
    pub replica: BackendName,
    /// What to load.
    pub key: AdapterKey,
    /// Longest time to wait, in ms.
    pub wait_ms: u64,
    /// Whether to wait for a place if none is free.
    pub queue: bool,
}

/// Answer to a [`LoadRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAnswer {
    /// Version that is loaded; `None` if it isn't.
    pub version: Option<u64>,
}

/// The sender gives a replica no orders any more; the receiver is to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The replica.
    pub replica: BackendName,
    /// Unix milliseconds of the replica's start.
    pub started_ms: u64,
    /// Orders that the replica has accepted.
    pub orders: u64,
    /// Fencing number of the sender's tenure.
    pub fence: u64,
    /// What the replica holds by the sender's orders.
    pub plan: PlanHandover,
}

/// Tells the instance that gives a replica its orders what the sender uses there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseNotice {
    /// The replica.
    pub replica: BackendName,
    /// What is used.
    pub key: AdapterKey,
    /// How much.
    pub news: UseNews,
}

/// Answer to a [`Handover`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverAnswer {
    /// Whether the receiver gives the orders now.
    pub accepted: bool,
}

/// Asks for all published items of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishedRead {
    /// The operator's items.
    Operator,
    /// The replicas' entries.
    Replicas,
}

/// Answer to a [`PublishedRead`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedAnswer {
    /// Revision that the items stand for; `None` if the sender has none.
    pub as_of: Option<u64>,
    /// Key, value and revision of each item.
    pub items: Vec<(String, Bytes, u64)>,
}

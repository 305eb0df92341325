//! Messages between relays.

use serde::Deserialize;
use serde::Serialize;

use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::HeldModel;
use crate::decide::traffic::PeerGossip;
use crate::decide::traffic::PlanHandover;
use crate::decide::traffic::PromptPart;
use crate::decide::traffic::TurnId;
use crate::decide::traffic::UseUpdate;
use crate::decide::traffic::ViewDigest;
use crate::decide::traffic::Workload;
use crate::names::BackendName;

/// Path of [`Exchange`].
pub const EXCHANGE_PATH: &str = "/relay/v1/exchange";
/// Path of [`LoadRequest`].
pub const LOAD_PATH: &str = "/relay/v1/load";
/// Path of [`PublishedRequest`].
pub const PUBLISHED_PATH: &str = "/relay/v1/published";

/// Path of [`Handover`].
pub const HANDOVER_PATH: &str = "/relay/v1/handover";

/// Path of [`UseNotice`].
pub const USE_PATH: &str = "/relay/v1/use";

/// Path of [`TurnRequest`].
pub const TURN_PATH: &str = "/relay/v1/turn";

/// Path of [`TurnRef`].
pub const TURN_END_PATH: &str = "/relay/v1/turn-end";

/// What a replica holds, by the instance that gives it orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedReplica {
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
    pub load: Workload,
    /// Requests by what they use.
    pub in_use: Vec<(AdapterKey, u32)>,
}

/// How far the sender's views of the published state go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDigests {
    /// Of the operator's items.
    pub operator: ViewDigest,
    /// Of the replicas' entries.
    pub replicas: ViewDigest,
}

/// What instances tell each other; the answer is one too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Instances that the sender knows of.
    pub peers: PeerGossip,
    /// Highest fencing number that the sender has heard of.
    pub fence: u64,
    /// Replicas that the sender gives orders.
    pub owned: Vec<OwnedReplica>,
    /// Work that the sender has.
    pub loads: Vec<ReplicaLoad>,
    /// Serial of the sender's last [`UseNotice`].
    pub use_serial: u64,
    /// Requests suspected of crashing replicas, with their strikes.
    pub strikes: Vec<(u64, u32)>,
    /// How far the sender's views of the published state go.
    pub views: ViewDigests,
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
    /// What to do if it isn't loaded.
    pub mode: LoadMode,
    /// Replicas that should hold it, as far as the sender knows.
    pub width: usize,
}

/// What is done for a [`LoadRequest`] if the adapter isn't loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMode {
    /// Nothing, unless it is on its way.
    IfKnown,
    /// It is loaded if there's a place.
    IfFree,
    /// It waits for a place.
    Queue,
}

/// Answer to a [`LoadRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReply {
    /// Version that is loaded; `None` if it isn't.
    pub version: Option<u64>,
    /// Whether it has so large a part of the replica's work that another should hold it too.
    pub crowded: bool,
    /// Requests at the replica.
    pub requests: u32,
    /// Replicas that should hold it, as far as the sender knows.
    pub width: usize,
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
    pub news: UseUpdate,
}

/// Asks for the turn of a long prompt; the answer is whether it came.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRequest {
    /// The turn.
    pub turn: TurnRef,
    /// What the prompt is for.
    pub key: AdapterKey,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub tokens: u64,
}

/// Ends the turn of a long prompt, or the wait for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRef {
    /// The replica.
    pub replica: BackendName,
    /// The prompt.
    pub ticket: TurnId,
}

/// Answer to a [`Handover`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverReply {
    /// Whether the receiver gives the orders now.
    pub accepted: bool,
}

/// A part of the published state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishedPart {
    /// The operator's items.
    Operator,
    /// The replicas' entries.
    Replicas,
}

/// Asks for changes of the published state; the answer is [`ViewChanges`].
///
/// [`ViewChanges`]: crate::decide::traffic::ViewChanges
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedRequest {
    /// Which part.
    pub part: PublishedPart,
    /// Revision up to which the sender has all; `None` if it has nothing.
    pub after: Option<u64>,
}

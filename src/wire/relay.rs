//! Messages between entry instances that run the relay.
//!
//! Each replica has an owner, the instance that gives it load and unload orders.
//! The other instances ask the owner to load adapters and tell it which adapters
//! their requests use.

use serde::Deserialize;
use serde::Serialize;

use crate::decide::config_freshness::ConfigProof;
use crate::decide::send_limits::LimitNews;
use crate::decide::traffic::AdapterKey;
use crate::decide::traffic::CrashEvidence;
use crate::decide::traffic::HeldModel;
use crate::decide::traffic::HolderWait;
use crate::decide::traffic::HomeState;
use crate::decide::traffic::PeerGossip;
use crate::decide::traffic::PlanHandover;
use crate::decide::traffic::Presence;
use crate::decide::traffic::PromptPart;
use crate::decide::traffic::SoundPart;
use crate::decide::traffic::TurnId;
use crate::decide::traffic::UseUpdate;
use crate::decide::traffic::ViewDigest;
use crate::decide::traffic::Workload;
use crate::decide::transfer::ValueId;
use crate::names::BackendName;
use crate::names::InstanceName;

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

/// Path of [`FailureNotice`].
pub const FAILURE_PATH: &str = "/relay/v1/failure";

/// Path of [`RepeatedUses`].
pub const REPEATED_USES_PATH: &str = "/relay/v1/uses";

/// Path of [`TurnRequest`].
pub const TURN_PATH: &str = "/relay/v1/turn";

/// Path of [`TurnRef`].
pub const TURN_END_PATH: &str = "/relay/v1/turn-end";

/// A replica that the sender owns, and what it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedReplica {
    /// The replica.
    pub replica: BackendName,
    /// Start time of the replica, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Base models that it holds, with their adapters.
    pub models: Vec<HeldModel>,
}

/// Work of the sender's requests at one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaWorkload {
    /// The replica.
    pub replica: BackendName,
    /// Total over these requests.
    pub load: Workload,
    /// Number of requests by the adapter or base model that they use.
    pub in_use: Vec<(AdapterKey, u32)>,
}

/// Up to where the sender has read the published state, for each part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDigests {
    /// For the operator's items.
    pub operator: ViewDigest,
    /// For the replicas' entries.
    pub replicas: ViewDigest,
}

/// Periodic exchange of state between two instances; the reply is an `Exchange` too.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// Instances that the sender knows.
    pub peers: PeerGossip,
    /// Highest fencing number that the sender has seen.
    pub fence: u64,
    /// Replicas that the sender owns.
    pub owned: Vec<OwnedReplica>,
    /// Work of the sender's requests, by replica.
    pub loads: Vec<ReplicaWorkload>,
    /// Serial number of the sender's last [`UseNotice`].
    pub use_serial: u64,
    /// Fingerprints of requests that are suspected of crashing replicas, with their strikes.
    pub strikes: Vec<(u64, u32)>,
    /// Time since the last strike of each of these, in milliseconds; empty from older processes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub strike_ages_ms: Vec<u64>,
    /// Up to where the sender has read the published state.
    pub views: ViewDigests,
    /// Replicas that said lately that they are leaving, with their start times in milliseconds
    /// since the Unix epoch.
    #[serde(default)]
    pub leaving: Vec<(BackendName, u64)>,
    /// Prompt parts that replicas had when they crashed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crash_evidence: Vec<CrashEvidence>,
    /// Suspected prompt parts that didn't crash a replica.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sound_parts: Vec<SoundPart>,
    /// Limits that replicas began or ceased to name lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitNews>,
    /// How fresh the sender's configuration is; only in a reply, as nobody knows for how long
    /// another message was in transit. `None` without client accounts and from older processes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config_proof: Option<ConfigProof>,
}

/// Asks the owner of a replica to load an adapter or a base model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// The replica.
    pub replica: BackendName,
    /// Adapter or base model to load.
    pub key: AdapterKey,
    /// Longest wait for the load, in milliseconds.
    pub wait_ms: u64,
    /// What the owner does if it isn't loaded.
    pub mode: LoadMode,
    /// Number of replicas that should hold it, as far as the sender knows.
    pub width: usize,
}

/// What the owner does for a [`LoadRequest`] if the adapter isn't loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMode {
    /// Waits for a load in progress; starts none.
    IfKnown,
    /// Starts a load if a slot is free now.
    IfFree,
    /// Starts a load as soon as a slot is free.
    Queue,
    /// Answers at once how it is; older processes don't know this mode and refuse the call.
    Probe,
}

/// Reply to a [`LoadRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReply {
    /// Loaded version; `None` if none is loaded.
    pub version: Option<u64>,
    /// Whether the replica is so busy, also with this adapter, that a further one should hold it.
    pub crowded: bool,
    /// Number of requests at the replica.
    pub requests: u32,
    /// Number of replicas that should hold it, as far as the sender knows.
    pub width: usize,
    /// Whether the adapter is being loaded, or a load is requested.
    #[serde(default)]
    pub is_loading: bool,
    /// Whether the replica has a copy of it in its own memory.
    #[serde(default)]
    pub has_copy: bool,
    /// Tokens of long prompts that the replica has yet to read.
    #[serde(default)]
    pub backlog_tokens: u64,
    /// Whether no adapter slot is free or can be freed.
    #[serde(default)]
    pub is_full: bool,
    /// Number of adapters that requests wait for there.
    #[serde(default)]
    pub waiting_loads: u32,
    /// Time until the owner may order loads, or should be asked again, in ms; `None` if it isn't known.
    #[serde(default)]
    pub orders_in_ms: Option<u64>,
    /// Decayed count of recent failures at the replica.
    #[serde(default)]
    pub failure_score: f64,
    /// Time between events of its streams, in µs; `None` if it isn't known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub event_gap_us: Option<u32>,
}

impl LoadReply {
    /// The reply that stands for an owner that can't be asked or doesn't give orders.
    pub fn unavailable() -> Self {
        Self { is_full: true, ..Self::default() }
    }

    /// State of the home that the reply is about, which is so much slower than a typical replica.
    pub fn home_state(&self, slowness: f64) -> HomeState {
        let presence = match self.version {
            Some(version) => Presence::Held(version),
            None if self.is_loading => Presence::Loading,
            None if self.has_copy => Presence::Copy,
            None => Presence::Absent,
        };
        HomeState {
            presence,
            crowded: self.crowded,
            requests: self.requests,
            backlog_tokens: self.backlog_tokens,
            is_full: self.is_full,
            waiting_loads: self.waiting_loads,
            failure_score: self.failure_score,
            slowness,
        }
    }
}

/// Hands the ownership of a replica over to the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The replica.
    pub replica: BackendName,
    /// Start time of the replica, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Number of orders that the replica has accepted since its start.
    pub orders: u64,
    /// Fencing number under which the sender owned the replica.
    pub fence: u64,
    /// The sender's record of what the replica holds and loads.
    pub plan: PlanHandover,
    /// Instances that ordered the replica lately; `None` from older processes, which don't say.
    #[serde(default)]
    pub recent_holders: Option<Vec<HolderWait>>,
}

/// Tells the owner of a replica how many of the sender's requests use an adapter there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseNotice {
    /// The replica.
    pub replica: BackendName,
    /// Adapter or base model in use.
    pub key: AdapterKey,
    /// Number of requests that use it.
    pub news: UseUpdate,
    /// Mean time between events of the sender's last stream there, in µs, if it wasn't told yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub event_gap_us: Option<u32>,
}

/// Tells the owner of a replica that a request of the sender failed there; older processes answer
/// that they don't know the path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FailureNotice {
    /// The replica.
    pub replica: BackendName,
    /// Weight of the failure; 1 is a broken connection.
    pub weight: f64,
}

/// Repeats to the owner of replicas what the sender's requests use there; older processes answer
/// that they don't know the path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatedUses {
    /// The sender.
    pub user: InstanceName,
    /// Serial number of the sender's last [`UseNotice`].
    pub use_serial: u64,
    /// Work of the sender's requests, by replica.
    pub loads: Vec<ReplicaWorkload>,
}

/// Asks the owner of a replica for a turn to send a long prompt; the reply is whether it was
/// granted in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRequest {
    /// Turn that is asked for.
    pub turn: TurnRef,
    /// Adapter or base model that the prompt is for.
    pub key: AdapterKey,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// Number of tokens of the prompt.
    pub tokens: u64,
}

/// Reference to a turn of a long prompt; sent by itself, it ends the turn or the wait for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRef {
    /// The replica.
    pub replica: BackendName,
    /// Identifier of the prompt.
    pub ticket: TurnId,
}

/// Reply to a [`Handover`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverReply {
    /// Whether the receiver owns the replica now.
    pub accepted: bool,
}

/// Part of the published state that is read on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishedPart {
    /// The operator's items.
    Operator,
    /// The replicas' entries.
    Replicas,
    /// The configuration in effect, which a store that was restored may lack; older processes don't
    /// know this part and refuse the call.
    Config,
}

/// Asks for changes of the published state; the reply is [`ViewChanges`].
///
/// [`ViewChanges`]: crate::decide::traffic::ViewChanges
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedRequest {
    /// Part to read.
    pub part: PublishedPart,
    /// Revision up to which the sender's view is complete; `None` if it has nothing.
    pub after: Option<u64>,
    /// Era of that revision; 0 if it isn't known.
    #[serde(default)]
    pub era: u64,
    /// Whether the reply may refer to large values instead of containing them.
    #[serde(default)]
    pub takes_references: bool,
    /// Large value that the sender has, from which the difference may be made.
    #[serde(default)]
    pub base: Option<ValueId>,
}

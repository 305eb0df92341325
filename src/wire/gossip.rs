//! Messages of the gossip protocol between entry instances.
//!
//! The protocol is of the SWIM family: direct and indirect probes detect failures,
//! a suspected member refutes the suspicion with a higher epoch, and each message
//! piggybacks updates. Updates about members are superseded by later ones; those
//! about backend servers and of other modules are kept for a time, and a digest of
//! them shows a peer that it lacks some. [`ConfigRequest`] reads the configuration
//! in effect at a peer.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::published::PageRef;
use crate::names::BackendName;
use crate::names::DataCentre;
use crate::names::Generation;
use crate::names::Incarnation;
use crate::names::InstanceName;

/// Identifier of a root of the published configuration, ordered by generation first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigId {
    /// Generation of the root.
    pub generation: Generation,
    /// XXH3 (64 bits) of the root's bytes.
    pub root_hash: u64,
}

/// What an instance believes about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// It answers probes.
    Alive,
    /// It didn't answer a probe, and may still refute the suspicion.
    Suspect,
    /// It didn't refute the suspicion in time.
    Dead,
}

/// State of one member, as the member reports it or as another instance believes it to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address of its listener for peers.
    pub addr: SocketAddr,
    /// Data centre that it runs in.
    pub dc: DataCentre,
    /// Incarnation of its process.
    pub inc: Incarnation,
    /// Version of the record, as SWIM's incarnation number; only the member raises it, to refute
    /// a suspicion or to override its earlier incarnation.
    pub epoch: u64,
    /// Whether it is believed to be alive.
    pub status: MemberStatus,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Configuration in effect at the member.
    pub config: Option<ConfigId>,
    /// Whether its last read of the configuration service succeeded.
    pub reads: bool,
}

/// A backend server that is reported to be leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeavingBackend {
    /// Name of the backend server.
    pub name: BackendName,
    /// Incarnation that is leaving; `None` if it is unknown.
    pub inc: Option<Incarnation>,
}

/// Update of another module; topic and key determine the value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TopicNews {
    /// Module that the update is for.
    pub topic: Topic,
    /// Key within the topic.
    pub key: u64,
    /// Value of the key.
    pub value: u64,
}

/// Module that spreads updates by gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// Strikes against requests that crash engines.
    Quarantine,
}

/// One update that a message piggybacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GossipUpdate {
    /// State of a member.
    Member(MemberRecord),
    /// A backend server is leaving.
    Backend {
        /// The backend server.
        leaving: LeavingBackend,
        /// Age of the update, in seconds.
        age_s: u32,
    },
    /// Update of another module.
    Topic {
        /// The update.
        news: TopicNews,
        /// Age of the update, in seconds.
        age_s: u32,
    },
}

impl GossipUpdate {
    /// The update with this age; records of members have none.
    #[must_use]
    pub fn with_age(self, age_s: u32) -> Self {
        match self {
            Self::Member(_) => self,
            Self::Backend { leaving, .. } => Self::Backend { leaving, age_s },
            Self::Topic { news, .. } => Self::Topic { news, age_s },
        }
    }

    /// Hash of the update without its age, for the digest; zero for records of members, which
    /// the digest leaves out.
    pub fn identity_hash(&self) -> u64 {
        let text = match self {
            Self::Member(_) => return 0,
            Self::Backend { leaving, .. } => {
                format!("backend {} {}", leaving.inc.map_or(0, |inc| inc.0), leaving.name)
            }
            Self::Topic { news, .. } => {
                format!("topic {:?} {} {}", news.topic, news.key, news.value)
            }
        };
        xxh3_64(text.as_bytes()).max(1)
    }
}

/// Purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GossipKind {
    /// Direct probe: the receiver answers.
    Probe,
    /// Probe of a sender that has just started or was paused: the receiver answers with the
    /// updates that it keeps.
    Join,
    /// Indirect probe: the receiver probes `target` and reports if it answered.
    ProbeFor {
        /// Member to probe.
        target: InstanceName,
    },
    /// Result of an indirect probe that the receiver asked for: `target` has answered.
    Reached {
        /// Member that answered.
        target: InstanceName,
        /// Incarnation that answered.
        inc: Incarnation,
    },
    /// Urgent updates, sent outside the rounds of probes.
    Push,
}

/// Body of `POST /peer/v1/gossip`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's own state.
    pub from: MemberRecord,
    /// Purpose of the message.
    pub kind: GossipKind,
    /// Digest of the updates that the sender keeps; records of members aren't in it.
    pub digest: u64,
    /// Piggybacked updates.
    pub news: Vec<GossipUpdate>,
}

/// Response to a [`Gossip`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipReply {
    /// The responding instance's own state.
    pub from: MemberRecord,
    /// Piggybacked updates.
    pub news: Vec<GossipUpdate>,
}

/// Body of `POST /peer/v1/config`, which reads the configuration in effect at a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Page to read; `None` reads the root.
    pub page: Option<PageRef>,
}

/// Response to a [`ConfigRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Published JSON text; `None` if the peer doesn't hold it.
    pub text: Option<String>,
}

//! Heartbeats between entry instances and the news that they carry.

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

/// One content of one generation; a higher generation always orders higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigId {
    /// Generation of the root.
    pub generation: Generation,
    /// XXH3 (64 bits) of the root's bytes.
    pub root_hash: u64,
}

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It didn't answer and may still refute that.
    Suspect,
    /// It didn't refute the suspicion in time.
    Dead,
}

/// State of one member, as it says of itself or as others believe.
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
    /// Raised by the member itself to refute a suspicion or an earlier incarnation.
    pub epoch: u64,
    /// What is believed of it.
    pub status: MemberStatus,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Configuration in effect at the member.
    pub config: Option<ConfigId>,
    /// Whether its last read of the configuration service succeeded.
    pub reads: bool,
}

/// A backend server that some source said is leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeavingBackend {
    /// Name of the backend server.
    pub name: BackendName,
    /// Incarnation that leaves, if it is known.
    pub inc: Option<Incarnation>,
}

/// News of another module; equal topic and key mean equal news.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TopicNews {
    /// Module that it is for.
    pub topic: Topic,
    /// Key within the topic.
    pub key: u64,
    /// Value that belongs to the key.
    pub value: u64,
}

/// Modules that spread news of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// Strikes against requests that crash engines.
    Quarantine,
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GossipUpdate {
    /// State of a member.
    Member(MemberRecord),
    /// A backend server leaves.
    Backend {
        /// Which one.
        leaving: LeavingBackend,
        /// Age of the news, in seconds.
        age_s: u32,
    },
    /// News of another module.
    Topic {
        /// The news.
        news: TopicNews,
        /// Age of the news, in seconds.
        age_s: u32,
    },
}

impl GossipUpdate {
    /// The news with another age.
    #[must_use]
    pub fn with_age(self, age_s: u32) -> Self {
        match self {
            Self::Member(_) => self,
            Self::Backend { leaving, .. } => Self::Backend { leaving, age_s },
            Self::Topic { news, .. } => Self::Topic { news, age_s },
        }
    }

    /// Hash of news that lasts, without its age; zero for news of members.
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

/// What a message asks of its receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GossipKind {
    /// To answer.
    Probe,
    /// To answer with all lasting news: the sender has just started or was paused.
    Join,
    /// To probe another member and to say whether it answered.
    ProbeFor {
        /// Member to probe.
        target: InstanceName,
    },
    /// Nothing: a member that the receiver asked about has answered.
    Reached {
        /// Member that answered.
        target: InstanceName,
        /// Incarnation that answered.
        inc: Incarnation,
    },
    /// Nothing: urgent news.
    Push,
}

/// Body of `POST /peer/v1/gossip`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's own state.
    pub from: MemberRecord,
    /// What is asked.
    pub kind: GossipKind,
    /// Digest of the sender's lasting news.
    pub digest: u64,
    /// Further news.
    pub news: Vec<GossipUpdate>,
}

/// Answer to a [`Gossip`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipReply {
    /// The answering instance's own state.
    pub from: MemberRecord,
    /// Further news.
    pub news: Vec<GossipUpdate>,
}

/// Body of `POST /peer/v1/config`: a read of the configuration in effect at a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Page to read; the root if there's none.
    pub page: Option<PageRef>,
}

/// Answer to a [`ConfigRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// The published bytes, which are JSON; `None` if the peer doesn't hold them.
    pub text: Option<String>,
}

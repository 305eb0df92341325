//! A replica at which a stream of unknown origin may have begun.

use std::net::SocketAddr;

use super::CacheAnswer;
use super::CacheHolding;
use super::Departure;
use super::FormerReplica;
use super::OriginPresence;
use super::ReplicaEntry;
use crate::names::BackendName;
use crate::names::SoftwareVersion;

/// A replica at which a stream of unknown origin may have begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PossibleOrigin {
    /// Its name.
    pub name: BackendName,
    /// Start time in Unix milliseconds.
    pub started_ms: u64,
    /// Software version that it runs or ran.
    pub software: SoftwareVersion,
    /// Address that it serves or served on.
    pub addr: SocketAddr,
    /// Whether it can be asked.
    pub presence: OriginPresence,
}

impl From<&ReplicaEntry> for PossibleOrigin {
    fn from(entry: &ReplicaEntry) -> Self {
        Self {
            name: entry.name.clone(),
            started_ms: entry.started_ms,
            software: entry.software.clone(),
            addr: entry.addr,
            presence: OriginPresence::Listed,
        }
    }
}

impl PossibleOrigin {
    /// The listed replicas that may have begun a stream, and those that left lately, as `former`
    /// says.
    pub fn all<'a>(
        listed: Vec<Self>,
        former: impl IntoIterator<Item = &'a FormerReplica>,
    ) -> Vec<Self> {
        let mut all = listed;
        for replica in former {
            let presence = match replica.departure {
                Departure::Silent => OriginPresence::MayRun,
                Departure::SilentInService => OriginPresence::MayHaveEnded,
                Departure::Ended => OriginPresence::Ended,
                Departure::EndedInService => continue,
            };
            let is_known =
                |known: &Self| known.name == replica.name && known.started_ms == replica.started_ms;
            if !all.iter().any(is_known) {
                all.push(Self::former(replica, presence));
            }
        }
        all
    }

    /// What its KV cache tells, `None` of which is known if it didn't answer; `None` if its streams went
    /// on elsewhere.
    pub fn answer(self, holding: Option<CacheHolding>) -> Option<CacheAnswer> {
        match (self.presence, holding) {
            (OriginPresence::MayHaveEnded, None) => None,
            (_, holding) => {
                Some(CacheAnswer { replica: self.name, software: self.software, holding })
            }
        }
    }

    fn former(replica: &FormerReplica, presence: OriginPresence) -> Self {
        Self {
            name: replica.name.clone(),
            started_ms: replica.started_ms,
            software: replica.software.clone(),
            addr: replica.addr,
            presence,
        }
    }
}

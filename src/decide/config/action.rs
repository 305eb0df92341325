//! What the configuration's decisions ask for and take in.

use std::sync::Arc;

use bytes::Bytes;

use super::ConfigSource;
use super::Snapshot;
use crate::error::Error;
use crate::names::Generation;
use crate::names::InstanceName;
use crate::wire::gossip::ConfigId;
use crate::wire::published::PageRef;

/// Something to be done outside the decisions.
#[derive(Clone, Debug)]
pub enum ConfigAction {
    /// Read the service's root; a watch if `after` is set.
    ReadServiceRoot {
        /// Number of the call, to be given back with its answer.
        call: u64,
        /// Generation above which a watch returns.
        after: Option<Generation>,
    },
    /// Read the root in effect at a peer.
    ReadPeerRoot {
        /// The peer.
        from: InstanceName,
    },
    /// Read one page.
    ReadPage {
        /// Where to read it.
        from: ConfigSource,
        /// The page.
        page: PageRef,
    },
    /// A generation is in effect from now on.
    Applied(Arc<Snapshot>),
    /// A source holds other content of the generation in effect: alarm.
    Conflict {
        /// Content in effect here.
        ours: ConfigId,
        /// Content seen.
        theirs: ConfigId,
        /// Who holds it.
        from: ConfigSource,
    },
    /// A published configuration was refused.
    Refused(Error),
    /// The state of the service has changed.
    ServiceChanged(ServiceHealth),
}

/// Answer of the service to one read of its root.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceAnswer {
    /// The root's bytes.
    Root(Bytes),
    /// A watch ended without a higher generation.
    Unchanged,
    /// No answer.
    Failed,
}

/// State of the configuration service as seen by one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceHealth {
    /// It answers with the generation in effect or a higher one.
    Current,
    /// It answers with a generation below the one in effect.
    Stale,
    /// It doesn't answer.
    Unreachable,
}

impl ServiceHealth {
    /// The state after an answer that shows no generation.
    pub fn reachable(self) -> Self {
        match self {
            Self::Current | Self::Unreachable => Self::Current,
            Self::Stale => Self::Stale,
        }
    }
}

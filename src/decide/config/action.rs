//! Actions that [`super::ConfigSync`] asks its caller to carry out, and the service's replies.

use std::sync::Arc;

use bytes::Bytes;

use super::ConfigSource;
use super::Snapshot;
use crate::error::Error;
use crate::names::Generation;
use crate::names::InstanceName;
use crate::wire::gossip::ConfigId;
use crate::wire::published::PageRef;

/// An action for the caller of [`super::ConfigSync`].
#[derive(Clone, Debug)]
pub enum ConfigAction {
    /// Read the root from the service; long-polls if `after` is set.
    ReadServiceRoot {
        /// Call number, to be passed back with the reply.
        call: u64,
        /// The call waits for a generation above this one.
        after: Option<Generation>,
    },
    /// Read the root in effect at a peer.
    ReadPeerRoot {
        /// Instance to read from.
        from: InstanceName,
    },
    /// Read one page.
    ReadPage {
        /// Where to read it from.
        from: ConfigSource,
        /// Name and expected hash of the page.
        page: PageRef,
    },
    /// A new generation has taken effect.
    Applied(Arc<Snapshot>),
    /// A source holds different content for the generation in effect: raise an alarm.
    Conflict {
        /// Content in effect here.
        ours: ConfigId,
        /// Content at the source.
        theirs: ConfigId,
        /// Source of the other content.
        from: ConfigSource,
    },
    /// A root or page set was refused; the error says why.
    Refused(Error),
    /// The health of the service, as seen here, has changed.
    ServiceChanged(ServiceHealth),
}

/// Reply of the configuration service to a read of its root.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceReply {
    /// The root's bytes.
    Root(Bytes),
    /// A long poll ended without a higher generation.
    Unchanged,
    /// The call failed.
    Failed,
}

/// Health of the configuration service as seen by one instance.
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
    /// The health after a reply that tells no generation.
    pub fn reachable(self) -> Self {
        match self {
            Self::Current | Self::Unreachable => Self::Current,
            Self::Stale => Self::Stale,
        }
    }
}

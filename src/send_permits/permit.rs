//! A permit to send one request; dropping it tells that the request has ended.

use std::net::SocketAddr;
use std::sync::Arc;

use super::SendPermits;
use crate::decide::send_limits::PermitId;
use crate::names::BackendName;
use crate::wire::send_permit::PermitEnd;

/// Who granted a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitSource {
    /// The instance that counts the sends to the replica.
    Counter,
    /// This instance by itself, from its share, as the counting one can't be reached.
    OwnShare,
}

/// Permit to send one request to a replica.
pub struct SendPermit {
    permits: Arc<SendPermits>,
    replica: BackendName,
    id: PermitId,
    grantor: Grantor,
    /// Whether the grantor counts the requests that run.
    tells_end: bool,
    was_rejected: bool,
}

/// Who has to be told when the request has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grantor {
    /// This instance, as the one that counts.
    Own,
    /// This instance, from its own share.
    OwnShare,
    /// The instance at this address.
    Peer(SocketAddr),
}

impl SendPermit {
    /// A permit for a request that is about to be sent.
    pub fn new(
        permits: &Arc<SendPermits>,
        replica: BackendName,
        id: PermitId,
        grantor: Grantor,
        tells_end: bool,
    ) -> Self {
        let permits = Arc::clone(permits);
        Self { permits, replica, id, grantor, tells_end, was_rejected: false }
    }

    /// Who granted it.
    pub fn source(&self) -> PermitSource {
        match self.grantor {
            Grantor::Own | Grantor::Peer(_) => PermitSource::Counter,
            Grantor::OwnShare => PermitSource::OwnShare,
        }
    }

    /// Notes that the replica turned the request away.
    pub fn on_rejected(&mut self) {
        self.was_rejected = true;
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if !self.tells_end {
            return;
        }
        let end = PermitEnd {
            replica: self.replica.clone(),
            id: self.id.clone(),
            was_rejected: self.was_rejected,
        };
        self.permits.tell_end(&self.grantor, end);
    }
}

//! A replica that left.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Departure;
use super::ReplicaEntry;
use super::ReplicaState;
use crate::names::BackendName;
use crate::names::ServiceName;
use crate::names::SoftwareVersion;

/// One start of a replica that is listed no more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerReplica {
    /// Its name.
    pub name: BackendName,
    /// Start time in Unix milliseconds.
    pub started_ms: u64,
    /// Service that it belonged to.
    pub service: ServiceName,
    /// Software version that it ran.
    pub software: SoftwareVersion,
    /// Address that it served on.
    pub addr: SocketAddr,
    /// What became of it.
    pub departure: Departure,
}

impl FormerReplica {
    /// The replica of an entry that was removed.
    pub fn removed(entry: &ReplicaEntry) -> Self {
        let departure = match entry.state {
            ReplicaState::Ready => Departure::Silent,
            // The entry of a draining replica is removed when it ends.
            ReplicaState::Draining => Departure::Ended,
        };
        Self::new(entry, departure)
    }

    /// The start before, of a replica that runs again under its name.
    pub fn replaced(entry: &ReplicaEntry) -> Self {
        Self::new(entry, Departure::Ended)
    }

    /// The same, of which is known that instances served after it had left.
    pub fn in_service(self) -> Self {
        let departure = match self.departure {
            Departure::Silent | Departure::SilentInService => Departure::SilentInService,
            Departure::Ended | Departure::EndedInService => Departure::EndedInService,
        };
        Self { departure, ..self }
    }

    fn new(entry: &ReplicaEntry, departure: Departure) -> Self {
        Self {
            name: entry.name.clone(),
            started_ms: entry.started_ms,
            service: entry.service.clone(),
            software: entry.software.clone(),
            addr: entry.addr,
            departure,
        }
    }
}

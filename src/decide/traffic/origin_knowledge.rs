//! What one instance knows of a stream and of its service's software versions.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use super::Replicas;
use crate::names::ServiceName;
use crate::names::SoftwareVersion;
use crate::names::Timestamp;
use crate::names::WallTime;

/// What one instance knows of where a stream began; instances send it to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginKnowledge {
    /// Software version at which the stream began; `None` if it wasn't told.
    pub origin: Option<SoftwareVersion>,
    /// Software versions of the service's replicas, also of those that left lately.
    pub versions: Vec<SoftwareVersion>,
    /// Time over which `versions` lacks none that a replica ran, as far as it can tell; zero while
    /// its view of the replicas isn't current. In whole milliseconds.
    #[serde(rename = "known_for_ms", serialize_with = "to_ms", deserialize_with = "from_ms")]
    pub known_for: Duration,
}

impl OriginKnowledge {
    /// What an instance knows of a service, apart from the stream: `followed_for` is how long it
    /// has followed the replicas, `None` while its view of them isn't current, and `wall` the time
    /// of day.
    ///
    /// A version leaves when replicas of another one have started, so an instance that has just
    /// begun to follow them knows the versions since the last start, too.
    pub fn of_service(
        replicas: &Replicas,
        service: &ServiceName,
        now: Timestamp,
        wall: WallTime,
        followed_for: Option<Duration>,
    ) -> Self {
        let unchanged_for =
            replicas.last_start(service).map_or(Duration::ZERO, |at| wall.since(at));
        Self {
            origin: None,
            versions: replicas.software_versions(now, service),
            known_for: followed_for.map_or(Duration::ZERO, |time| time.max(unchanged_for)),
        }
    }
}

fn to_ms<S: Serializer>(time: &Duration, out: S) -> Result<S::Ok, S::Error> {
    out.serialize_u64(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

fn from_ms<'de, D: Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
    u64::deserialize(input).map(Duration::from_millis)
}

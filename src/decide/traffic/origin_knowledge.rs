//! What one instance knows of a stream and of its service's software versions.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use super::Coverage;
use super::FormerReplica;
use super::Replicas;
use super::STREAM_MEMORY_TIME;
use crate::names::ServiceName;
use crate::names::SoftwareVersion;
use crate::names::Timestamp;

/// What one instance knows of where a stream began; instances send it to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginKnowledge {
    /// Software version at which the stream began; `None` if it wasn't told.
    pub origin: Option<SoftwareVersion>,
    /// Software versions of the service's replicas, also of those that left lately.
    pub versions: Vec<SoftwareVersion>,
    /// Time over which `versions` and `departed` lack nothing; in whole milliseconds, 0 if that
    /// isn't known.
    #[serde(rename = "known_for_ms", serialize_with = "to_ms", deserialize_with = "from_ms")]
    pub coverage: Coverage,
    /// Replicas of the service that left lately; none from older processes.
    #[serde(default)]
    pub departed: Vec<FormerReplica>,
}

impl OriginKnowledge {
    /// What an instance knows of a service, apart from the stream; `coverage` is the time over
    /// which it knows all changes of the replicas.
    pub fn of_service(
        replicas: &Replicas,
        service: &ServiceName,
        now: Timestamp,
        coverage: Coverage,
    ) -> Self {
        Self {
            origin: None,
            versions: replicas.software_versions(now, service),
            coverage,
            departed: replicas.former(now, service, STREAM_MEMORY_TIME),
        }
    }
}

fn to_ms<S: Serializer>(coverage: &Coverage, out: S) -> Result<S::Ok, S::Error> {
    out.serialize_u64(coverage.as_millis())
}

fn from_ms<'de, D: Deserializer<'de>>(input: D) -> Result<Coverage, D::Error> {
    let ms = u64::deserialize(input)?;
    Ok(if ms == 0 { Coverage::Unknown } else { Coverage::Last(Duration::from_millis(ms)) })
}

//! What one instance knows of a stream and of its service's software versions.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::names::SoftwareVersion;

/// What one instance knows of where a stream began; instances send it to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginKnowledge {
    /// Software version at which the stream began; `None` if it wasn't told.
    pub origin: Option<SoftwareVersion>,
    /// Software versions of the service's replicas, also of those that left lately.
    pub versions: Vec<SoftwareVersion>,
    /// Time for which it has known the service's replicas, in whole milliseconds.
    #[serde(rename = "known_for_ms", serialize_with = "to_ms", deserialize_with = "from_ms")]
    pub known_for: Duration,
}

fn to_ms<S: Serializer>(time: &Duration, out: S) -> Result<S::Ok, S::Error> {
    out.serialize_u64(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

fn from_ms<'de, D: Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
    u64::deserialize(input).map(Duration::from_millis)
}

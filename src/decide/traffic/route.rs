//! One route of the published traffic configuration.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::names::RouteName;
use crate::names::ServiceName;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// A stream of events; one that resumes may run more than once.
    Stream {
        /// Whether another replica can go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run again after it may have run.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// Host that it belongs to.
    pub host: String,
    /// Beginning of the paths that it serves.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer counts fully.
    pub objective: Duration,
    /// Rank among the routes; 0 is the most urgent.
    pub priority: u8,
    /// Replicas that one request may run on.
    pub attempts: u32,
    /// Services with their weights.
    pub backends: Vec<(ServiceName, u32)>,
}

impl Route {
    /// The service for a request; the same `id` always gets the same one.
    pub fn service_for(&self, id: &str) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return self.backends.first().map(|(service, _)| service);
        }
        let mut point = xxh3_64(id.as_bytes()) % total;
        for (service, weight) in &self.backends {
            if point < u64::from(*weight) {
                return Some(service);
            }
            point -= u64::from(*weight);
        }
        None
    }
}

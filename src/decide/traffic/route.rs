//! One route of the published traffic configuration: which paths it matches, how often its
//! requests may run, and how they are split between services.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::names::RouteName;
use crate::names::ServiceName;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
    /// Its response is a stream of events, and may run more than once if that can be resumed.
    Stream {
        /// Whether another replica can continue the stream after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Identifies the route across versions of the configuration.
    pub name: RouteName,
    /// Host whose requests it matches, in any case.
    pub host: String,
    /// Prefix of the paths that it matches.
    pub prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Latency objective: time within which a response counts fully.
    pub objective: Duration,
    /// Priority among the routes; 0 is the most urgent.
    pub priority: u8,
    /// Most replicas that one request may run on.
    pub attempts: u32,
    /// Whether its requests need no API key in a deployment with client accounts.
    pub is_public: bool,
    /// Services with the weights by which requests are split between them.
    pub backends: Vec<(ServiceName, u32)>,
}

impl Route {
    /// Timeout of a request that was accepted under this route and matches `current` now.
    ///
    /// Such a request keeps the terms under which it was accepted: a shorter timeout is for later
    /// requests, while a longer one leaves it more time too.
    pub fn timeout_of_accepted(&self, current: Option<&Self>) -> Duration {
        let same = current.filter(|current| current.name == self.name);
        same.map_or(self.timeout, |current| current.timeout.max(self.timeout))
    }

    /// Picks the service of a request by weight and a hash of its `id`, so that the same `id`
    /// always gets the same service.
    ///
    /// If all weights are 0, it is the first service; `None` if there are no services.
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

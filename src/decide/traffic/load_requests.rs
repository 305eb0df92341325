//! Adapters that requests wait for and whose loads haven't been ordered, oldest first.

use std::collections::VecDeque;
use std::time::Duration;

use super::AdapterKey;
use crate::names::Timestamp;

/// Time for which a request for a load is kept without being repeated.
const TTL: Duration = Duration::from_secs(2);

/// Requested loads, each with the time at which it was requested last.
#[derive(Clone, Debug, Default)]
pub struct LoadRequests(VecDeque<(AdapterKey, Timestamp)>);

impl LoadRequests {
    /// Adds an adapter at the end, or renews its request in its place.
    pub fn on_request(&mut self, now: Timestamp, key: &AdapterKey) {
        match self.0.iter_mut().find(|(requested, _)| requested == key) {
            Some((_, at)) => *at = now,
            None => self.0.push_back((key.clone(), now)),
        }
    }

    /// Drops the requests that weren't repeated in time.
    pub fn drop_expired(&mut self, now: Timestamp) {
        self.0.retain(|(_, at)| now.since(*at) < TTL);
    }

    /// Drops the request for an adapter.
    pub fn remove(&mut self, key: &AdapterKey) {
        self.retain(|requested| requested != key);
    }

    /// Drops the requests for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&AdapterKey) -> bool) {
        self.0.retain(|(key, _)| keep(key));
    }

    /// Whether an adapter is requested.
    pub fn contains(&self, key: &AdapterKey) -> bool {
        self.iter().any(|requested| requested == key)
    }

    /// Requested adapters, oldest request first.
    pub fn iter(&self) -> impl Iterator<Item = &AdapterKey> {
        self.0.iter().map(|(key, _)| key)
    }

    /// Number of requested adapters.
    pub fn count(&self) -> usize {
        self.0.len()
    }
}

//! Software versions at which streams began, so that a stream goes on at the same one.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::StreamKey;
use crate::names::SoftwareVersion;
use crate::names::Timestamp;

/// Time for which it is remembered at which software version a stream began, and which versions
/// the replicas that left ran.
pub const STREAM_MEMORY_TIME: Duration = Duration::from_secs(60);
/// Most streams that are remembered; beyond that, the oldest is forgotten.
const CAPACITY: usize = 16_384;

/// Software versions at which streams began, as far as one instance was told.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    known: HashMap<StreamKey, SoftwareVersion>,
    /// Keys of `known` with the times when they were added, oldest first.
    added: VecDeque<(Timestamp, StreamKey)>,
}

impl StreamOrigins {
    /// Records at which software version a stream began; the first word on a stream counts.
    pub fn on_begun(&mut self, now: Timestamp, key: StreamKey, software: SoftwareVersion) {
        self.forget_old(now);
        if self.known.contains_key(&key) {
            return;
        }
        if self.added.len() >= CAPACITY {
            self.forget_first();
        }
        self.known.insert(key, software);
        self.added.push_back((now, key));
    }

    /// Software version at which a stream began; `None` if unknown.
    pub fn version_of(&mut self, now: Timestamp, key: StreamKey) -> Option<&SoftwareVersion> {
        self.forget_old(now);
        self.known.get(&key)
    }

    /// Number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn forget_old(&mut self, now: Timestamp) {
        let is_old = |at: Timestamp| now.since(at) >= STREAM_MEMORY_TIME;
        while self.added.front().is_some_and(|(at, _)| is_old(*at)) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, key)) = self.added.pop_front() {
            self.known.remove(&key);
        }
    }
}

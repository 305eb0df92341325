//! Software versions at which streams began, so that a stream goes on at the same one.

use std::collections::BTreeSet;
use std::collections::HashMap;
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
    known: HashMap<StreamKey, (SoftwareVersion, Timestamp)>,
    /// The keys of `known` by the time of the last word on them.
    by_age: BTreeSet<(Timestamp, StreamKey)>,
}

impl StreamOrigins {
    /// Records at which software version a stream began. The first word on a stream counts; the
    /// same once more keeps it in memory for longer.
    pub fn on_begun(&mut self, now: Timestamp, key: StreamKey, software: SoftwareVersion) {
        self.forget_old(now);
        match self.known.get_mut(&key) {
            Some((known, _)) if *known != software => return,
            Some((_, told_at)) => {
                self.by_age.remove(&(*told_at, key));
                *told_at = now;
            }
            None => {
                if self.known.len() >= CAPACITY {
                    self.forget_first();
                }
                self.known.insert(key, (software, now));
            }
        }
        self.by_age.insert((now, key));
    }

    /// Software version at which a stream began; `None` if unknown.
    pub fn version_of(&self, now: Timestamp, key: StreamKey) -> Option<&SoftwareVersion> {
        let (software, told_at) = self.known.get(&key)?;
        (now.since(*told_at) < STREAM_MEMORY_TIME).then_some(software)
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
        let is_old = |told_at: Timestamp| now.since(told_at) >= STREAM_MEMORY_TIME;
        while self.by_age.first().is_some_and(|(told_at, _)| is_old(*told_at)) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, key)) = self.by_age.pop_first() {
            self.known.remove(&key);
        }
    }
}

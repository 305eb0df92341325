//! Versions that other instances have and this one doesn't.

use std::collections::VecDeque;

use crate::names::Timestamp;

/// Most versions that are kept apart.
const MAX_VERSIONS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct MissingVersion {
    version: u64,
    heard_at: Timestamp,
    /// What a peer's proof of it counts from; `None` without a proof.
    proven_at: Option<Timestamp>,
}

/// Versions that peers named, above the one of this instance, in increasing order.
#[derive(Clone, Debug, Default)]
pub struct MissingVersions(VecDeque<MissingVersion>);

impl MissingVersions {
    /// Records a version that is above the one of this instance, and a peer's proof of it.
    pub fn on_heard(&mut self, version: u64, heard_at: Timestamp, proven_at: Option<Timestamp>) {
        if let Some(known) = self.0.iter_mut().find(|known| known.version == version) {
            known.proven_at = known.proven_at.max(proven_at);
            return;
        }
        if self.highest().is_some_and(|highest| version < highest) {
            return;
        }
        if self.0.len() < MAX_VERSIONS {
            self.0.push_back(MissingVersion { version, heard_at, proven_at });
        } else if let Some(last) = self.0.back_mut() {
            // The time of the last one, which is earlier, stands for both.
            *last = MissingVersion { version, heard_at: last.heard_at, proven_at };
        }
    }

    /// Drops the versions up to `version`, which is now in effect here; returns what a peer's proof
    /// of it counts from.
    pub fn on_applied(&mut self, version: u64) -> Option<Timestamp> {
        let known = self.0.iter().find(|known| known.version == version);
        let proven_at = known.and_then(|known| known.proven_at);
        self.0.retain(|known| known.version > version);
        proven_at
    }

    /// The highest one; `None` if no version is missing.
    pub fn highest(&self) -> Option<u64> {
        self.0.back().map(|known| known.version)
    }

    /// Since when a version is missing; `None` if none is.
    pub fn since(&self) -> Option<Timestamp> {
        self.0.front().map(|known| known.heard_at)
    }
}

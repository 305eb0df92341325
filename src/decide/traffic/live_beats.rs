//! Heartbeats of the live instances as messages of gossip carry them.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::Beats;
use super::Receiver;
use crate::names::Timestamp;

/// Time for which collected heartbeats are sent.
const BEATS_MAX_AGE: Duration = Duration::from_millis(30);
/// Time for which the roster must be unchanged for others to be expected to know the same one.
const ROSTER_SETTLED_TIME: Duration = Duration::from_millis(1500);
/// Heartbeats of the live instances, which several messages share.
#[derive(Clone, Debug, Default)]
pub struct LiveBeats {
    /// When they were collected; `None` if a record changed since.
    collected_at: Option<Timestamp>,
    /// Tags and heartbeats of the live instances and this one, by tag.
    beats: Vec<(u32, u64)>,
    /// Hash of the tags.
    roster: u64,
    /// Since when the hash is the same.
    same_since: Timestamp,
}

impl LiveBeats {
    /// Whether the heartbeats have to be collected anew.
    pub fn are_outdated(&self, now: Timestamp) -> bool {
        self.collected_at.is_none_or(|at| now.since(at) >= BEATS_MAX_AGE)
    }

    /// Records that a record changed, so that the heartbeats have to be collected anew.
    pub fn on_record_changed(&mut self) {
        self.collected_at = None;
    }

    /// Tags of the live instances and this one, in their order.
    pub fn tags(&self) -> Vec<u32> {
        self.beats.iter().map(|(tag, _)| *tag).collect()
    }

    /// Tags and heartbeats of the live instances and this one, by tag.
    pub fn all(&self) -> &[(u32, u64)] {
        &self.beats
    }

    /// Hash of the tags.
    pub fn roster(&self) -> u64 {
        self.roster
    }

    /// Replaces the heartbeats by those collected now.
    pub fn replace(&mut self, now: Timestamp, beats: Vec<(u32, u64)>) {
        let roster = roster_hash(&beats);
        let same_since = if roster == self.roster { self.same_since } else { now };
        *self = Self { collected_at: Some(now), beats, roster, same_since };
    }

    /// The heartbeats in the shortest form that the receiver is expected to read.
    pub fn in_form_for(&self, now: Timestamp, to: &Receiver) -> Beats {
        let is_settled = now.since(self.same_since) >= ROSTER_SETTLED_TIME;
        if to.roster.map_or(is_settled, |known| known == self.roster) {
            Beats::by_roster(self.beats.iter().map(|(_, heartbeat)| *heartbeat))
        } else {
            Beats::by_tag(self.beats.iter().copied())
        }
    }
}

/// Hash of the tags of a roster; never 0.
fn roster_hash(beats: &[(u32, u64)]) -> u64 {
    let tags: Vec<u8> = beats.iter().flat_map(|(tag, _)| tag.to_le_bytes()).collect();
    xxh3_64(&tags).max(1)
}

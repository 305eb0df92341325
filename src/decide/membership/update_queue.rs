//! Dissemination queue: the updates that an instance passes on by gossip.
//!
//! Updates on members are dropped once they were sent often enough. Those on backend
//! servers and from other modules are retained until they are [`UPDATE_RETENTION`]
//! old, so that joining members and those that missed them can still get them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::limits::MAX_QUEUED_UPDATES;
use super::limits::MAX_UPDATE_BYTES;
use super::limits::SENDS_PER_FLEET_DOUBLING;
use super::limits::UPDATE_RETENTION;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::frame;
use crate::wire::gossip::GossipUpdate;
use crate::wire::gossip::LeavingBackend;
use crate::wire::gossip::MemberRecord;
use crate::wire::gossip::TopicNews;

/// Subject of an update; the queue holds one update for each.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum UpdateKey {
    Backend(LeavingBackend),
    Topic(TopicNews),
    Member(InstanceName),
}

/// An update and how often it was sent.
#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: GossipUpdate,
    sends: u32,
    bytes: usize,
    /// Hash of a retained update; zero for updates on members, which aren't retained.
    hash: u64,
    expires_at: Timestamp,
}

impl QueuedUpdate {
    /// The update with its age at `now`.
    fn with_current_age(&self, now: Timestamp) -> GossipUpdate {
        let age = UPDATE_RETENTION.saturating_sub(self.expires_at.since(now));
        self.update.clone().with_age(age.as_secs() as u32)
    }
}

/// Updates with their transmission counts, at most [`MAX_QUEUED_UPDATES`] of them.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    queued: BTreeMap<UpdateKey, QueuedUpdate>,
}

impl UpdateQueue {
    /// Queues a member's record in place of an earlier one.
    pub fn push_member(&mut self, now: Timestamp, record: MemberRecord) {
        let key = UpdateKey::Member(record.name.clone());
        self.insert(key, GossipUpdate::Member(record), now + UPDATE_RETENTION);
    }

    /// Queues that a backend server is leaving; returns whether that is new.
    pub fn push_backend(&mut self, now: Timestamp, leaving: LeavingBackend, age_s: u32) -> bool {
        let key = UpdateKey::Backend(leaving.clone());
        self.push_retained(now, key, GossipUpdate::Backend { leaving, age_s }, age_s)
    }

    /// Queues an update of another module; returns whether it is new.
    pub fn push_topic(&mut self, now: Timestamp, news: TopicNews, age_s: u32) -> bool {
        let key = UpdateKey::Topic(news.clone());
        self.push_retained(now, key, GossipUpdate::Topic { news, age_s }, age_s)
    }

    /// Digest of the retained updates; equal digests mean equal updates.
    pub fn digest(&self) -> u64 {
        self.queued.values().fold(0, |digest, queued| digest ^ queued.hash)
    }

    /// Up to `max_bytes` of retained updates, from index `start` on, wrapping around.
    pub fn retained(&self, now: Timestamp, max_bytes: usize, start: usize) -> Vec<GossipUpdate> {
        let retained: Vec<&QueuedUpdate> =
            self.queued.values().filter(|queued| queued.hash != 0).collect();
        let start = start % retained.len().max(1);
        let mut remaining_bytes = max_bytes;
        let mut taken = Vec::new();
        for queued in retained.iter().cycle().skip(start).take(retained.len()) {
            if queued.bytes > remaining_bytes {
                break;
            }
            remaining_bytes -= queued.bytes;
            taken.push(queued.with_current_age(now));
        }
        taken
    }

    /// Picks the updates for one message and counts them as sent.
    ///
    /// Retained updates go first, then those sent least often. The number of known
    /// members decides how often each is sent.
    pub fn take_due(&mut self, now: Timestamp, members: usize) -> Vec<GossipUpdate> {
        let max_sends = SENDS_PER_FLEET_DOUBLING * (members + 2).ilog2();
        let mut due: Vec<(&UpdateKey, &mut QueuedUpdate)> =
            self.queued.iter_mut().filter(|(_, queued)| queued.sends < max_sends).collect();
        // Updates on members never crowd out the urgent ones.
        due.sort_by_key(|(key, queued)| (matches!(key, UpdateKey::Member(_)), queued.sends));
        let mut remaining_bytes = MAX_UPDATE_BYTES;
        let mut taken = Vec::new();
        for (_, queued) in due {
            if queued.bytes > remaining_bytes {
                break;
            }
            remaining_bytes -= queued.bytes;
            queued.sends += 1;
            taken.push(queued.with_current_age(now));
        }
        taken
    }

    /// Drops updates on members that were sent often enough, and retained ones that are too old.
    pub fn expire(&mut self, now: Timestamp, members: usize) {
        let max_sends = SENDS_PER_FLEET_DOUBLING * (members + 2).ilog2();
        self.queued.retain(|key, queued| match key {
            UpdateKey::Member(_) => queued.sends < max_sends,
            UpdateKey::Backend(_) | UpdateKey::Topic(_) => now < queued.expires_at,
        });
    }

    fn push_retained(
        &mut self,
        now: Timestamp,
        key: UpdateKey,
        update: GossipUpdate,
        age_s: u32,
    ) -> bool {
        let age = Duration::from_secs(u64::from(age_s));
        if age >= UPDATE_RETENTION || self.queued.contains_key(&key) {
            return false;
        }
        self.insert(key, update, now + (UPDATE_RETENTION - age));
        true
    }

    fn insert(&mut self, key: UpdateKey, update: GossipUpdate, expires_at: Timestamp) {
        let Ok(encoded) = frame::encode(&update) else { return };
        let bytes = encoded.len();
        if bytes > MAX_UPDATE_BYTES {
            return;
        }
        if self.queued.len() >= MAX_QUEUED_UPDATES {
            self.drop_most_sent();
        }
        let hash = update.identity_hash();
        self.queued.insert(key, QueuedUpdate { update, sends: 0, bytes, hash, expires_at });
    }

    fn drop_most_sent(&mut self) {
        let most_sent = self.queued.iter().max_by_key(|(_, queued)| queued.sends);
        if let Some(key) = most_sent.map(|(key, _)| key.clone()) {
            self.queued.remove(&key);
        }
    }
}

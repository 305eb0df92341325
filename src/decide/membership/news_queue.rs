//! News that is still to be passed on.

use std::collections::BTreeMap;
use std::time::Duration;

use super::limits::MAX_NEWS_BYTES;
use super::limits::MAX_QUEUED;
use super::limits::NEWS_KEEP;
use super::limits::SENDS_PER_DOUBLING;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::frame;
use crate::wire::gossip::GossipUpdate;
use crate::wire::gossip::LeavingBackend;
use crate::wire::gossip::MemberRecord;
use crate::wire::gossip::TopicNews;

/// What a piece of news is about; newer news replaces older with the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum NewsKey {
    Backend(LeavingBackend),
    Topic(TopicNews),
    Member(InstanceName),
}

/// One piece of news and how often it was sent.
#[derive(Clone, Debug)]
struct Queued {
    news: GossipUpdate,
    sends: u32,
    bytes: usize,
    /// Hash of lasting news; zero for news of members, which doesn't last.
    hash: u64,
    until: Timestamp,
}

impl Queued {
    /// The news with its age at this time.
    fn aged(&self, now: Timestamp) -> GossipUpdate {
        let age = NEWS_KEEP.saturating_sub(self.until.since(now));
        self.news.clone().with_age(age.as_secs() as u32)
    }
}

/// News with the number of its transmissions; urgent news first, then the least sent.
#[derive(Clone, Debug, Default)]
pub struct NewsQueue {
    queued: BTreeMap<NewsKey, Queued>,
}

impl NewsQueue {
    /// Adds news about a member.
    pub fn push_member(&mut self, now: Timestamp, news: MemberRecord) {
        let key = NewsKey::Member(news.name.clone());
        self.insert(key, GossipUpdate::Member(news), now + NEWS_KEEP);
    }

    /// Adds news about a backend server; returns whether it is new.
    pub fn push_backend(&mut self, now: Timestamp, leaving: LeavingBackend, age_s: u32) -> bool {
        let key = NewsKey::Backend(leaving.clone());
        self.push_lasting(now, key, GossipUpdate::Backend { leaving, age_s }, age_s)
    }

    /// Adds news of another module; returns whether it is new.
    pub fn push_topic(&mut self, now: Timestamp, news: TopicNews, age_s: u32) -> bool {
        let key = NewsKey::Topic(news.clone());
        self.push_lasting(now, key, GossipUpdate::Topic { news, age_s }, age_s)
    }

    /// Digest of the lasting news; equal digests mean equal news.
    pub fn digest(&self) -> u64 {
        self.queued.values().fold(0, |digest, queued| digest ^ queued.hash)
    }

    /// Lasting news of up to `limit` bytes, from the piece at `start` on.
    pub fn lasting(&self, now: Timestamp, limit: usize, start: usize) -> Vec<GossipUpdate> {
        let lasting: Vec<&Queued> =
            self.queued.values().filter(|queued| queued.hash != 0).collect();
        let start = start % lasting.len().max(1);
        let mut left = limit;
        let mut taken = Vec::new();
        for queued in lasting.iter().cycle().skip(start).take(lasting.len()) {
            if queued.bytes > left {
                break;
            }
            left -= queued.bytes;
            taken.push(queued.aged(now));
        }
        taken
    }

    /// The news for one message to a fleet of this size.
    pub fn take(&mut self, now: Timestamp, fleet: usize) -> Vec<GossipUpdate> {
        let most = SENDS_PER_DOUBLING * (fleet + 2).ilog2();
        let mut due: Vec<(&NewsKey, &mut Queued)> =
            self.queued.iter_mut().filter(|(_, queued)| queued.sends < most).collect();
        // Urgent news is never crowded out by that of members.
        due.sort_by_key(|(key, queued)| (matches!(key, NewsKey::Member(_)), queued.sends));
        let mut left = MAX_NEWS_BYTES;
        let mut taken = Vec::new();
        for (_, queued) in due {
            if queued.bytes > left {
                break;
            }
            left -= queued.bytes;
            queued.sends += 1;
            taken.push(queued.aged(now));
        }
        taken
    }

    /// Forgets news that is old, or sent often enough and of no lasting use.
    pub fn expire(&mut self, now: Timestamp, fleet: usize) {
        let most = SENDS_PER_DOUBLING * (fleet + 2).ilog2();
        self.queued.retain(|key, queued| match key {
            NewsKey::Member(_) => queued.sends < most,
            NewsKey::Backend(_) | NewsKey::Topic(_) => now < queued.until,
        });
    }

    fn push_lasting(
        &mut self,
        now: Timestamp,
        key: NewsKey,
        news: GossipUpdate,
        age_s: u32,
    ) -> bool {
        let age = Duration::from_secs(u64::from(age_s));
        if age >= NEWS_KEEP || self.queued.contains_key(&key) {
            return false;
        }
        self.insert(key, news, now + (NEWS_KEEP - age));
        true
    }

    fn insert(&mut self, key: NewsKey, news: GossipUpdate, until: Timestamp) {
        let Ok(encoded) = frame::encode(&news) else { return };
        let bytes = encoded.len();
        if bytes > MAX_NEWS_BYTES {
            return;
        }
        if self.queued.len() >= MAX_QUEUED {
            self.drop_most_sent();
        }
        let hash = news.identity_hash();
        self.queued.insert(key, Queued { news, sends: 0, bytes, hash, until });
    }

    fn drop_most_sent(&mut self) {
        let most_sent = self.queued.iter().max_by_key(|(_, queued)| queued.sends);
        if let Some(key) = most_sent.map(|(key, _)| key.clone()) {
            self.queued.remove(&key);
        }
    }
}

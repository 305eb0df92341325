//! News that is still to be passed on.

use std::collections::BTreeMap;

use super::limits::MAX_JOIN_BYTES;
use super::limits::MAX_NEWS_BYTES;
use super::limits::MAX_QUEUED;
use super::limits::NEWS_KEEP;
use super::limits::SENDS_PER_DOUBLING;
use crate::names::InstanceName;
use crate::names::Timestamp;
use crate::wire::frame;
use crate::wire::gossip::BackendLeaving;
use crate::wire::gossip::MemberNews;
use crate::wire::gossip::News;
use crate::wire::gossip::TopicNews;

/// What a piece of news is about; newer news replaces older with the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum NewsKey {
    Backend(BackendLeaving),
    Topic(TopicNews),
    Member(InstanceName),
}

/// One piece of news and how often it was sent.
#[derive(Clone, Debug)]
struct Queued {
    news: News,
    sends: u32,
    bytes: usize,
    since: Timestamp,
}

/// News with the number of its transmissions, the least sent first.
#[derive(Clone, Debug, Default)]
pub struct NewsQueue {
    queued: BTreeMap<NewsKey, Queued>,
}

impl NewsQueue {
    /// Adds news about a member.
    pub fn push_member(&mut self, now: Timestamp, news: MemberNews) {
        let key = NewsKey::Member(news.name.clone());
        self.insert(now, key, News::Member(news));
    }

    /// Adds news about a backend server; returns whether it is new.
    pub fn push_backend(&mut self, now: Timestamp, news: BackendLeaving) -> bool {
        let key = NewsKey::Backend(news.clone());
        let is_new = !self.queued.contains_key(&key);
        if is_new {
            self.insert(now, key, News::Backend(news));
        }
        is_new
    }

    /// Adds news of another module; returns whether it is new.
    pub fn push_topic(&mut self, now: Timestamp, news: TopicNews) -> bool {
        let key = NewsKey::Topic(news.clone());
        let is_new = !self.queued.contains_key(&key);
        if is_new {
            self.insert(now, key, News::Topic(news));
        }
        is_new
    }

    /// Sends lasting news again, for members that may have missed it.
    pub fn renew(&mut self) {
        for (key, queued) in &mut self.queued {
            if !matches!(key, NewsKey::Member(_)) {
                queued.sends = 0;
            }
        }
    }

    /// News of lasting use, for a member that has just started or was paused.
    pub fn lasting(&self) -> Vec<News> {
        let mut left = MAX_JOIN_BYTES;
        let mut taken = Vec::new();
        for (key, queued) in &self.queued {
            if matches!(key, NewsKey::Member(_)) {
                continue;
            }
            if queued.bytes > left {
                break;
            }
            left -= queued.bytes;
            taken.push(queued.news.clone());
        }
        taken
    }

    /// The news for one message to a fleet of this size.
    pub fn take(&mut self, fleet: usize) -> Vec<News> {
        let most = SENDS_PER_DOUBLING * (fleet + 2).ilog2();
        let mut due: Vec<(&NewsKey, &mut Queued)> =
            self.queued.iter_mut().filter(|(_, queued)| queued.sends < most).collect();
        due.sort_by_key(|(key, queued)| (queued.sends, matches!(key, NewsKey::Member(_))));
        let mut left = MAX_NEWS_BYTES;
        let mut taken = Vec::new();
        for (_, queued) in due {
            if queued.bytes > left {
                break;
            }
            left -= queued.bytes;
            queued.sends += 1;
            taken.push(queued.news.clone());
        }
        taken
    }

    /// Forgets news that is old, or sent often enough and of no lasting use.
    pub fn expire(&mut self, now: Timestamp, fleet: usize) {
        let most = SENDS_PER_DOUBLING * (fleet + 2).ilog2();
        self.queued.retain(|key, queued| match key {
            NewsKey::Member(_) => queued.sends < most,
            NewsKey::Backend(_) | NewsKey::Topic(_) => now.since(queued.since) < NEWS_KEEP,
        });
    }

    fn insert(&mut self, now: Timestamp, key: NewsKey, news: News) {
        let bytes = frame::encode(&news).map_or(usize::MAX, |encoded| encoded.len());
        if bytes > MAX_NEWS_BYTES {
            return;
        }
        if self.queued.len() >= MAX_QUEUED {
            self.drop_most_sent();
        }
        self.queued.insert(key, Queued { news, sends: 0, bytes, since: now });
    }

    fn drop_most_sent(&mut self) {
        let most_sent = self.queued.iter().max_by_key(|(_, queued)| queued.sends);
        if let Some(key) = most_sent.map(|(key, _)| key.clone()) {
            self.queued.remove(&key);
        }
    }
}

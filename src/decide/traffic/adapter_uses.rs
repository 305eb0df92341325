//! Which adapters of a replica are in use, and by whose requests.

use std::collections::HashMap;
use std::time::Duration;

use super::AdapterKey;
use super::UseUpdate;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// Time for which an instance's word counts that it uses an adapter.
const NEWS_TIME: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct Use {
    count: u32,
    serial: u64,
    at: Timestamp,
}

/// Requests in progress at one replica, by what they use and whose they are.
#[derive(Clone, Debug, Default)]
pub struct AdapterUses {
    users: HashMap<AdapterKey, HashMap<InstanceName, Use>>,
}

impl AdapterUses {
    /// Takes news; returns how many requests have begun, or `None` if newer news is known.
    pub fn on_news(&mut self, now: Timestamp, key: &AdapterKey, news: &UseUpdate) -> Option<u32> {
        let known = self.users.get(key).and_then(|users| users.get(&news.user)).copied();
        if known.is_some_and(|known| known.serial > news.serial) {
            return None;
        }
        let UseUpdate { user, count, serial } = news.clone();
        if count > 0 {
            let users = self.users.entry(key.clone()).or_default();
            users.insert(user, Use { count, serial, at: now });
        } else if let Some(users) = self.users.get_mut(key) {
            users.remove(&user);
            if users.is_empty() {
                self.users.remove(key);
            }
        }
        Some(count.saturating_sub(known.map_or(0, |known| known.count)))
    }

    /// What an instance used before and doesn't use any more, if `uses` is all that it uses.
    pub fn ended(&self, user: &InstanceName, uses: &[(AdapterKey, u32)]) -> Vec<AdapterKey> {
        let used = self.users.iter().filter(|(_, users)| users.contains_key(user));
        let ended = used.filter(|(key, _)| !uses.iter().any(|(still, _)| still == *key));
        ended.map(|(key, _)| key.clone()).collect()
    }

    /// Drops what instances use that aren't there any more.
    pub fn retain_users(&mut self, is_there: impl Fn(&InstanceName) -> bool) {
        self.users.retain(|_, users| {
            users.retain(|user, _| is_there(user));
            !users.is_empty()
        });
    }

    /// Requests that use an adapter, as far as is known.
    pub fn count(&self, now: Timestamp, key: &AdapterKey) -> u32 {
        self.users.get(key).map_or(0, |users| count_of(now, users))
    }

    /// Requests that use any adapter, as far as is known.
    pub fn total(&self, now: Timestamp) -> u32 {
        self.users.values().map(|users| count_of(now, users)).sum()
    }

    /// Whether requests use an adapter now.
    pub fn is_in_use(&self, now: Timestamp, key: &AdapterKey) -> bool {
        let Some(users) = self.users.get(key) else { return false };
        users.values().any(|known| now.since(known.at) < NEWS_TIME)
    }
}

fn count_of(now: Timestamp, users: &HashMap<InstanceName, Use>) -> u32 {
    let fresh = users.values().filter(|known| now.since(known.at) < NEWS_TIME);
    fresh.map(|known| known.count).sum()
}

//! Which adapters of a replica are in use, and by which instances' requests.

use std::collections::HashMap;
use std::time::Duration;

use super::AdapterKey;
use super::UseUpdate;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// Time for which an instance's update counts that it uses an adapter.
const USE_TTL: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct UseCount {
    count: u32,
    serial: u64,
    updated_at: Timestamp,
}

impl UseCount {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.updated_at) < USE_TTL
    }
}

/// Number of requests in progress at one replica, by adapter and instance.
#[derive(Clone, Debug, Default)]
pub struct AdapterUses {
    users: HashMap<AdapterKey, HashMap<InstanceName, UseCount>>,
}

impl AdapterUses {
    /// Applies an update; returns how many requests have begun since the last one, or `None` if a
    /// newer update is known that still counts.
    pub fn on_update(
        &mut self,
        now: Timestamp,
        key: &AdapterKey,
        update: &UseUpdate,
    ) -> Option<u32> {
        let known = self.users.get(key).and_then(|users| users.get(&update.user)).copied();
        let known = known.filter(|known| known.is_fresh(now));
        if known.is_some_and(|known| known.serial > update.serial) {
            return None;
        }
        let UseUpdate { user, count, serial } = update.clone();
        if count > 0 {
            let users = self.users.entry(key.clone()).or_default();
            users.insert(user, UseCount { count, serial, updated_at: now });
        } else if let Some(users) = self.users.get_mut(key) {
            users.remove(&user);
            if users.is_empty() {
                self.users.remove(key);
            }
        }
        Some(count.saturating_sub(known.map_or(0, |known| known.count)))
    }

    /// What an instance used before and no longer uses, given that `uses` is all that it uses.
    pub fn no_longer_used(
        &self,
        user: &InstanceName,
        uses: &[(AdapterKey, u32)],
    ) -> Vec<AdapterKey> {
        let used = self.users.iter().filter(|(_, users)| users.contains_key(user));
        let no_longer_used = used.filter(|(key, _)| !uses.iter().any(|(still, _)| still == *key));
        no_longer_used.map(|(key, _)| key.clone()).collect()
    }

    /// Drops the uses of instances for which `is_there` is false.
    pub fn retain_users(&mut self, is_there: impl Fn(&InstanceName) -> bool) {
        self.users.retain(|_, users| {
            users.retain(|user, _| is_there(user));
            !users.is_empty()
        });
    }

    /// Requests that use an adapter, as far as is known.
    pub fn count(&self, now: Timestamp, key: &AdapterKey) -> u32 {
        self.users.get(key).map_or(0, |users| fresh_count(now, users))
    }

    /// Requests at the replica, as far as is known.
    pub fn total(&self, now: Timestamp) -> u32 {
        let counts = self.users.values().map(|users| fresh_count(now, users));
        counts.fold(0, u32::saturating_add)
    }

    /// Whether any instance uses an adapter, as far as is known.
    pub fn is_in_use(&self, now: Timestamp, key: &AdapterKey) -> bool {
        let Some(users) = self.users.get(key) else { return false };
        users.values().any(|known| known.is_fresh(now))
    }
}

fn fresh_count(now: Timestamp, users: &HashMap<InstanceName, UseCount>) -> u32 {
    let fresh = users.values().filter(|known| known.is_fresh(now));
    fresh.map(|known| known.count).fold(0, u32::saturating_add)
}

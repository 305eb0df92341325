//! The published items of one topic as this instance has them.

use std::collections::BTreeMap;

use super::PublishedEvent;
use super::PublishedItem;
use crate::names::Timestamp;

/// The published items of one topic as this instance has them.
#[derive(Clone, Debug, Default)]
pub struct TopicState {
    /// The items by key.
    pub items: BTreeMap<String, PublishedItem>,
    /// Revision from which on changes are asked for; `None` until the first listing.
    pub as_of: Option<u64>,
    /// Revision of the newest change that was taken.
    pub newest: u64,
    /// When a call failed last.
    pub failed: Option<Timestamp>,
    /// When a call succeeded last.
    pub succeeded: Option<Timestamp>,
}

impl TopicState {
    /// Takes one change; returns whether it is newer than what is known of its key.
    pub fn take(&mut self, event: &PublishedEvent) -> bool {
        match event {
            PublishedEvent::Written(item) => {
                if self.items.get(&item.key).is_some_and(|known| known.rev >= item.rev) {
                    return false;
                }
                self.newest = self.newest.max(item.rev);
                self.items.insert(item.key.clone(), item.clone());
                true
            }
            PublishedEvent::Removed { key, rev } => {
                if self.items.get(key).is_none_or(|known| known.rev >= *rev) {
                    return false;
                }
                self.newest = self.newest.max(*rev);
                self.items.remove(key);
                true
            }
        }
    }

    /// Turns a whole listing into the changes that lead to it.
    pub fn changes_to(&self, listed: Vec<PublishedItem>, as_of: u64) -> Vec<PublishedEvent> {
        let keys: Vec<&str> = listed.iter().map(|item| item.key.as_str()).collect();
        let removed = self
            .items
            .values()
            .filter(|item| item.rev <= as_of && !keys.contains(&item.key.as_str()));
        let mut events: Vec<PublishedEvent> = removed
            .map(|item| PublishedEvent::Removed {
                key: item.key.clone(),
                rev: as_of.max(item.rev + 1),
            })
            .collect();
        events.extend(listed.into_iter().map(PublishedEvent::Written));
        events
    }
}

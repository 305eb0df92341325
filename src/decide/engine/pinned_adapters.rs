//! Adapters that the preset in force keeps loaded on one engine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::names::AdapterRef;
use crate::names::Timestamp;

/// Time after a failed load until a pinned adapter is loaded ahead of its requests again.
const LOAD_AHEAD_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Slots for each adapter that may be pinned: at most half of an engine's slots are pinned.
const SLOTS_PER_PINNED_ADAPTER: usize = 2;

/// Pinned adapters of one engine, and when a failed load of one may be tried again.
#[derive(Clone, Debug, Default)]
pub struct PinnedAdapters {
    adapters: BTreeSet<AdapterRef>,
    not_before: BTreeMap<AdapterRef, Timestamp>,
}

impl PinnedAdapters {
    /// Replaces the pinned adapters; only the first ones are kept, as many as half of the slots.
    pub fn replace(&mut self, adapters: Vec<AdapterRef>, slot_count: usize) {
        self.adapters = adapters.into_iter().take(slot_count / SLOTS_PER_PINNED_ADAPTER).collect();
        self.not_before.clear();
    }

    /// Whether an adapter is pinned.
    pub fn contains(&self, adapter: &AdapterRef) -> bool {
        self.adapters.contains(adapter)
    }

    /// Delays the next load of a pinned adapter.
    pub fn on_load_failed(&mut self, now: Timestamp, adapter: &AdapterRef) {
        if self.contains(adapter) {
            self.not_before.insert(adapter.clone(), now + LOAD_AHEAD_RETRY_DELAY);
        }
    }

    /// Pinned adapters that may be loaded now, loaded ones included.
    pub fn due(&self, now: Timestamp) -> impl Iterator<Item = &AdapterRef> {
        self.adapters.iter().filter(move |adapter| {
            self.not_before.get(*adapter).is_none_or(|not_before| now >= *not_before)
        })
    }
}

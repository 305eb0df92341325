//! Adapters that the preset in force keeps loaded on one engine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::names::AdapterRef;
use crate::names::Timestamp;

/// Time between tries to load a pinned adapter ahead of its requests.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Share of an engine's slots that may be pinned, as a divisor.
const SLOTS_PER_PIN: usize = 2;

/// Pinned adapters and when a failed load of one may be tried again.
#[derive(Clone, Debug, Default)]
pub struct Pinned {
    adapters: BTreeSet<AdapterRef>,
    not_before: BTreeMap<AdapterRef, Timestamp>,
}

impl Pinned {
    /// Replaces the pinned adapters; the first ones that half of the slots hold are taken.
    pub fn set(&mut self, adapters: Vec<AdapterRef>, slot_count: usize) {
        self.adapters = adapters.into_iter().take(slot_count / SLOTS_PER_PIN).collect();
        self.not_before.clear();
    }

    /// Whether an adapter is pinned.
    pub fn contains(&self, adapter: &AdapterRef) -> bool {
        self.adapters.contains(adapter)
    }

    /// Notes a failed load.
    pub fn on_failed(&mut self, now: Timestamp, adapter: &AdapterRef) {
        if self.contains(adapter) {
            self.not_before.insert(adapter.clone(), now + RETRY_AFTER);
        }
    }

    /// Pinned adapters that may be loaded now.
    pub fn due(&self, now: Timestamp) -> impl Iterator<Item = &AdapterRef> {
        self.adapters.iter().filter(move |adapter| {
            self.not_before.get(*adapter).is_none_or(|not_before| now >= *not_before)
        })
    }
}

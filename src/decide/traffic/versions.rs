//! Newest version of each adapter, as declared by the operator.
//!
//! A replica that holds an older version is ordered to load the newest one, and after a grace
//! period the older one is no longer used.

use std::collections::HashMap;

use super::AdapterKey;
use crate::names::Timestamp;

/// A declared version, and when this instance learned of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Declared {
    version: u64,
    learned: Timestamp,
}

/// The newest declared version of each adapter; adapters without a declaration are missing.
#[derive(Clone, Debug, Default)]
pub struct DeclaredVersions {
    newest: HashMap<AdapterKey, Declared>,
}

impl DeclaredVersions {
    /// Records a declaration; returns whether it is newer than the known one.
    pub fn on_declared(&mut self, now: Timestamp, key: AdapterKey, version: u64) -> bool {
        let known = self.newest.get(&key).map_or(0, |declared| declared.version);
        if version <= known {
            return false;
        }
        self.newest.insert(key, Declared { version, learned: now });
        true
    }

    /// The newest declared version; `None` if none was declared.
    pub fn newest(&self, key: &AdapterKey) -> Option<u64> {
        self.newest.get(key).map(|declared| declared.version)
    }

    /// The newest declared version, and the time since this instance learned of it.
    pub fn newest_with_age(
        &self,
        now: Timestamp,
        key: &AdapterKey,
    ) -> Option<(u64, std::time::Duration)> {
        self.newest.get(key).map(|declared| (declared.version, now.since(declared.learned)))
    }
}

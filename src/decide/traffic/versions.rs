//! Versions of adapters that the operator declared.

use std::collections::HashMap;

use super::AdapterKey;
use crate::names::Timestamp;

/// A declared version and when this instance learned of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Declared {
    version: u64,
    since: Timestamp,
}

/// The newest declared version of each adapter that has one.
#[derive(Clone, Debug, Default)]
pub struct DeclaredVersions {
    newest: HashMap<AdapterKey, Declared>,
}

impl DeclaredVersions {
    /// Takes a declaration; returns whether it is newer than what was known.
    pub fn on_declared(&mut self, now: Timestamp, key: AdapterKey, version: u64) -> bool {
        let known = self.newest.get(&key).map_or(0, |declared| declared.version);
        if version <= known {
            return false;
        }
        self.newest.insert(key, Declared { version, since: now });
        true
    }

    /// The newest version, if one was declared.
    pub fn newest(&self, key: &AdapterKey) -> Option<u64> {
        self.newest.get(key).map(|declared| declared.version)
    }

    /// The newest version and the time since it was learned.
    pub fn newest_with_age(
        &self,
        now: Timestamp,
        key: &AdapterKey,
    ) -> Option<(u64, std::time::Duration)> {
        self.newest.get(key).map(|declared| (declared.version, now.since(declared.since)))
    }
}

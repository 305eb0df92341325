//! Adapters of which a replica keeps a copy, so that it loads them again without the weight
//! store.

use std::collections::VecDeque;

use super::AdapterKey;

/// Most copies that a replica keeps; beyond that, it drops the one held longest ago.
const CAPACITY: usize = 40;

/// Versions that a replica has copies of, in the order in which they were last held.
#[derive(Clone, Debug, Default)]
pub struct WarmCopies {
    copies: VecDeque<(AdapterKey, u64)>,
}

impl WarmCopies {
    /// These copies, the latest held last.
    pub fn of(copies: Vec<(AdapterKey, u64)>) -> Self {
        Self { copies: copies.into() }
    }

    /// All copies, the latest held last.
    pub fn all(&self) -> Vec<(AdapterKey, u64)> {
        self.copies.iter().cloned().collect()
    }

    /// Version of the copy; `None` if there's no copy.
    pub fn version(&self, key: &AdapterKey) -> Option<u64> {
        self.copies.iter().find(|(copied, _)| copied == key).map(|(_, version)| *version)
    }

    /// Whether there's a copy of the wanted version; `None` stands for any.
    pub fn has(&self, key: &AdapterKey, wanted: Option<u64>) -> bool {
        let copied = self.version(key);
        copied.is_some() && wanted.is_none_or(|wanted| copied == Some(wanted))
    }

    /// Records that the replica holds a version of an adapter.
    pub fn on_held(&mut self, key: &AdapterKey, version: u64) {
        if self.copies.back() == Some(&(key.clone(), version)) {
            return;
        }
        self.copies.retain(|(copied, _)| copied != key);
        self.copies.push_back((key.clone(), version));
        if self.copies.len() > CAPACITY {
            self.copies.pop_front();
        }
    }
}

//! Adapters of which a replica keeps a copy after they were unloaded.

use std::collections::VecDeque;

use super::AdapterKey;

/// Copies that a replica keeps.
const CAPACITY: usize = 40;

/// Versions that a replica had, the latest last.
#[derive(Clone, Debug, Default)]
pub struct KeptCopies {
    had: VecDeque<(AdapterKey, u64)>,
}

impl KeptCopies {
    /// These copies, the latest last.
    pub fn of(had: Vec<(AdapterKey, u64)>) -> Self {
        Self { had: had.into() }
    }

    /// All of them, the latest last.
    pub fn all(&self) -> Vec<(AdapterKey, u64)> {
        self.had.iter().cloned().collect()
    }

    /// Version of which there's a copy.
    pub fn version(&self, key: &AdapterKey) -> Option<u64> {
        self.had.iter().find(|(had, _)| had == key).map(|(_, version)| *version)
    }

    /// Whether there's a copy of the wanted version; `None` stands for any.
    pub fn has(&self, key: &AdapterKey, wanted: Option<u64>) -> bool {
        let had = self.version(key);
        had.is_some() && wanted.is_none_or(|wanted| had == Some(wanted))
    }

    /// Notes that the replica holds an adapter.
    pub fn on_held(&mut self, key: &AdapterKey, version: u64) {
        if self.had.back() == Some(&(key.clone(), version)) {
            return;
        }
        self.had.retain(|(had, _)| had != key);
        self.had.push_back((key.clone(), version));
        if self.had.len() > CAPACITY {
            self.had.pop_front();
        }
    }
}

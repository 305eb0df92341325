//! Store of the model: versions, when they were acknowledged, and restores from a copy.

/// Store whose versions grow by one; its state is told by the version.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Version that reads show.
    pub version: u64,
    /// How often it was restored.
    pub era: u64,
    /// When each version was acknowledged, in ms; the first one has version 1.
    acknowledged: Vec<u64>,
}

impl Store {
    /// Publishes the next version, above any before a restore.
    pub fn publish(&mut self, ms: u64) {
        self.acknowledged.push(ms);
        self.version = self.acknowledged.len() as u64;
    }

    /// Goes back to the version before.
    pub fn restore(&mut self) {
        self.version = self.version.saturating_sub(1).max(1);
        self.era += 1;
    }

    /// When the version after `version` was acknowledged; `None` if none was.
    pub fn succeeded_at(&self, version: u64) -> Option<u64> {
        self.acknowledged.get(version as usize).copied()
    }
}

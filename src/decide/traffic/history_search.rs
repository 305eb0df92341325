//! Search for the oldest revision after which the store still keeps every change.
//!
//! A store keeps its changes for some time only, and doesn't say from which revision on. A watch from
//! a revision that it no longer keeps is refused, so the oldest one is found by trying.

use super::SearchStep;

/// Distance from the newest revision that is tried first.
const FIRST_DISTANCE: u64 = 64;
/// Largest distance that is tried, so that an answer has no more changes than that.
const MAX_DISTANCE: u64 = 8192;

/// A search among the revisions up to `newest`.
#[derive(Clone, Copy, Debug)]
pub struct HistorySearch {
    newest: u64,
    /// Oldest revision from which the changes are known to be kept.
    kept: u64,
    /// Newest revision from which they are known not to be kept.
    gone: Option<u64>,
}

impl HistorySearch {
    /// A search that knows nothing yet.
    pub fn new(newest: u64) -> Self {
        Self { newest, kept: newest, gone: None }
    }

    /// The next step.
    pub fn next(&self) -> SearchStep {
        let distance = self.newest - self.kept;
        let step = match self.gone {
            None if self.kept == 0 || distance >= MAX_DISTANCE => SearchStep::Read(self.kept),
            None => {
                let further = if distance == 0 { FIRST_DISTANCE } else { 2 * distance };
                SearchStep::Try(self.newest.saturating_sub(further))
            }
            Some(gone) if gone + 1 >= self.kept => SearchStep::Read(self.kept),
            Some(gone) => SearchStep::Try(gone + (self.kept - gone) / 2),
        };
        match step {
            SearchStep::Read(after) if after >= self.newest => SearchStep::NothingKept,
            step => step,
        }
    }

    /// Records that the changes after `revision` are kept.
    pub fn on_kept(&mut self, revision: u64) {
        self.kept = self.kept.min(revision);
    }

    /// Records that the changes after `revision` aren't kept, or not any more.
    pub fn on_gone(&mut self, revision: u64) {
        self.gone = self.gone.max(Some(revision));
        if self.kept <= revision {
            // It was kept a moment ago.
            self.kept = (revision + 1).min(self.newest);
        }
    }
}

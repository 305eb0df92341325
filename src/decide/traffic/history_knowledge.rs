//! What an instance has learned from the store's history of the changes before those that it follows.

use std::time::Duration;

use super::Coverage;
use super::HistoryExtent;
use super::HistoryStep;
use crate::names::Timestamp;

/// Delay after a failed call, so that not every request waits for a store that doesn't answer.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// What was read of the store's history; it counts until changes are missed.
#[derive(Clone, Copy, Debug, Default)]
pub struct HistoryKnowledge {
    /// Time for which the store keeps its changes; `None` if that isn't known.
    kept_for: Option<Duration>,
    extent: Option<HistoryExtent>,
    /// Whether some of the changes that were read don't tell what they were about.
    has_unidentified: bool,
    /// When the store couldn't be asked last.
    failed_at: Option<Timestamp>,
}

impl HistoryKnowledge {
    /// Nothing was read yet of a store that keeps its changes for `kept_for`; `None` if that isn't known.
    pub fn new(kept_for: Option<Duration>) -> Self {
        Self { kept_for, ..Self::default() }
    }

    /// Records what was read, and whether some of the changes don't tell what they were about.
    pub fn on_read(&mut self, extent: HistoryExtent, has_unidentified: bool) {
        (self.extent, self.has_unidentified) = (Some(extent), has_unidentified);
    }

    /// Records whether the store still keeps the changes after the oldest and the newest revision that
    /// were read.
    pub fn on_checked(&mut self, now: Timestamp, keeps_oldest: bool, keeps_newest: bool) {
        if let Some(extent) = &mut self.extent {
            extent.on_check(now, keeps_oldest, keeps_newest);
        }
    }

    /// Records that the store couldn't be asked.
    pub fn on_failed(&mut self, now: Timestamp) {
        self.failed_at = Some(now);
    }

    /// What to do next while the changes are followed since `followed_since`, now up to `newest`.
    pub fn step(&self, now: Timestamp, followed_since: Timestamp, newest: u64) -> HistoryStep {
        if self.failed_at.is_some_and(|at| now.since(at) < RETRY_DELAY) {
            return HistoryStep::Nothing;
        }
        match self.extent_since(followed_since) {
            None => HistoryStep::Read { newest },
            Some(extent) if self.kept_for.is_some() && extent.is_check_due(now) => {
                HistoryStep::Check { oldest: extent.oldest, newest: extent.newest }
            }
            Some(_) => HistoryStep::Nothing,
        }
    }

    /// Whether the store told what happened before `followed_since`, as far as it keeps that.
    pub fn has_told(&self, followed_since: Timestamp) -> bool {
        !self.has_unidentified && self.extent_since(followed_since).is_some()
    }

    /// Time over which every change is known, as they are followed since `followed_since`.
    pub fn coverage(&self, now: Timestamp, followed_since: Timestamp) -> Coverage {
        let followed_for = now.since(followed_since);
        let extent = self.extent_since(followed_since).filter(|_| !self.has_unidentified);
        let told = extent.zip(self.kept_for).map(|(extent, time)| extent.coverage(now, time));
        match told {
            Some(Coverage::Last(told_for)) => Coverage::Last(told_for.max(followed_for)),
            Some(Coverage::Unknown) | None => Coverage::Last(followed_for),
        }
    }

    /// What was read, unless changes were missed since.
    fn extent_since(&self, followed_since: Timestamp) -> Option<HistoryExtent> {
        self.extent.filter(|extent| extent.read_at() >= followed_since)
    }
}

//! What an instance applies of the configurations that have arrived, and what it refuses.

use std::sync::Arc;

use super::ConfigAction;
use super::ConfigSource;
use super::ConfigSync;
use super::Offer;
use super::Snapshot;
use super::fetch::Fetch;
use crate::error::Error;
use crate::wire::gossip::ConfigId;

impl ConfigSync {
    /// Applies a configuration that has arrived whole, or refuses it.
    pub(super) fn finish(
        &mut self,
        whole: Option<Result<Snapshot, Error>>,
        id: ConfigId,
        actions: &mut Vec<ConfigAction>,
    ) {
        let offer = match whole {
            None => return,
            Some(Ok(snapshot)) => self.state.offer(snapshot),
            Some(Err(e)) => Err(e),
        };
        match offer {
            Ok(Offer::Applied) => self.on_applied(actions),
            Ok(Offer::Known | Offer::Older) => {}
            Err(e) => {
                self.refused.insert(id);
                self.refuse(e, actions);
            }
        }
        self.drop_unwanted();
    }

    fn on_applied(&mut self, actions: &mut Vec<ConfigAction>) {
        self.counters.applied += 1;
        self.conflicts.clear();
        let generation = self.generation();
        self.refused.retain(|id| Some(id.generation) > generation);
        if let Some(snapshot) = self.current() {
            actions.push(ConfigAction::Applied(Arc::clone(snapshot)));
        }
    }

    fn drop_unwanted(&mut self) {
        let done = |fetch: &Option<Fetch>, sync: &Self| {
            fetch.as_ref().is_some_and(|fetch| !sync.is_wanted(&fetch.id()))
        };
        if done(&self.from_peers, self) {
            self.from_peers = None;
        }
        if done(&self.from_service, self) {
            self.from_service = None;
        }
    }

    /// Whether a content would be applied if it arrived.
    pub(super) fn is_wanted(&self, id: &ConfigId) -> bool {
        let higher = self.generation().is_none_or(|current| id.generation > current);
        higher && !self.refused.contains(id)
    }

    /// Alarms other content of the generation in effect.
    pub(super) fn check_conflict(
        &mut self,
        id: ConfigId,
        from: ConfigSource,
        actions: &mut Vec<ConfigAction>,
    ) {
        let Some(ours) = self.id() else { return };
        let conflicting = id.generation == ours.generation && id != ours;
        if conflicting && self.conflicts.insert(id) {
            self.counters.conflicts += 1;
            actions.push(ConfigAction::Conflict { ours, theirs: id, from });
        }
    }

    /// Counts and reports a refusal.
    pub(super) fn refuse(&mut self, error: Error, actions: &mut Vec<ConfigAction>) {
        self.counters.refused += 1;
        actions.push(ConfigAction::Refused(error));
    }
}

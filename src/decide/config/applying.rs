//! Application or refusal of a fetched configuration, and alarms about conflicting content.

use std::sync::Arc;

use super::ApplyOutcome;
use super::ConfigAction;
use super::ConfigSource;
use super::ConfigSync;
use super::Snapshot;
use super::fetch::Fetch;
use crate::error::Error;
use crate::wire::gossip::ConfigId;

impl ConfigSync {
    /// Applies an assembled configuration or refuses it; nothing while `assembled` is `None`.
    pub(super) fn apply_assembled(
        &mut self,
        assembled: Option<Result<Snapshot, Error>>,
        id: ConfigId,
        actions: &mut Vec<ConfigAction>,
    ) {
        let outcome = match assembled {
            None => return,
            Some(Ok(snapshot)) => self.state.apply(snapshot),
            Some(Err(e)) => Err(e),
        };
        match outcome {
            Ok(ApplyOutcome::Applied) => self.on_applied(actions),
            Ok(ApplyOutcome::AlreadyApplied | ApplyOutcome::Outdated) => {}
            Err(e) => {
                self.refused.insert(id);
                self.refuse(e, actions);
            }
        }
        self.drop_obsolete_fetches();
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

    fn drop_obsolete_fetches(&mut self) {
        let done = |fetch: &Option<Fetch>, sync: &Self| {
            fetch.as_ref().is_some_and(|fetch| !sync.is_wanted(&fetch.id()))
        };
        if done(&self.peer_fetch, self) {
            self.peer_fetch = None;
        }
        if done(&self.service_fetch, self) {
            self.service_fetch = None;
        }
    }

    /// Whether `id` has a higher generation than the one in effect and wasn't refused.
    pub(super) fn is_wanted(&self, id: &ConfigId) -> bool {
        let higher = self.generation().is_none_or(|current| id.generation > current);
        higher && !self.refused.contains(id)
    }

    /// Raises an alarm, once for each `id`, if it is different content of the generation in effect.
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

//! The published items of one topic as one instance has them.
//!
//! A few instances read the published state; the others take its changes from them.
//! Each knows up to which revision it is complete, and at what time that was current.
//! One that nobody brings news any more reads for itself.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::PublishedEvent;
use super::PublishedItem;
use crate::names::Timestamp;

/// Removals that are remembered for others.
const MAX_REMOVED: usize = 512;
/// Age from which on an instance that doesn't read the published state does so.
const CURRENT_TIME: Duration = Duration::from_millis(2500);
/// Time without a successful read after which others' changes are taken.
const OUT_OF_TOUCH: Duration = Duration::from_millis(2700);
/// Time for which an answer of changes is awaited before another instance is asked.
const ASK_PAUSE: Duration = Duration::from_millis(200);

#[derive(Clone, Debug)]
struct Known {
    item: PublishedItem,
    /// Revision of the last change that others need to know.
    news_rev: u64,
}

/// How far an instance's view of a topic goes, to tell others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDigest {
    /// Revision of the newest change that others need to know.
    pub newest: u64,
    /// Revision up to which the view is complete.
    pub as_of: Option<u64>,
    /// Age of the read that it stands for, in ms.
    pub age_ms: Option<u64>,
}

/// Changes of a topic, to bring another instance's view up to date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewChanges {
    /// Whether these are all items; any other is gone.
    pub whole: bool,
    /// Revision up to which the changes are complete; `None` if nothing is known.
    pub as_of: Option<u64>,
    /// Age of the read that they stand for, in ms.
    pub age_ms: Option<u64>,
    /// Whether the published state was out of reach lately, so that items may have lapsed.
    pub after_outage: bool,
    /// The changes.
    pub events: Vec<PublishedEvent>,
}

/// The published items of one topic as one instance has them.
#[derive(Clone, Debug, Default)]
pub struct PublishedView {
    /// When a call failed last.
    pub failed: Option<Timestamp>,
    /// When a call succeeded last.
    pub succeeded: Option<Timestamp>,
    items: BTreeMap<String, Known>,
    removed: VecDeque<(u64, String)>,
    /// Revision after which every removal is remembered.
    removed_from: u64,
    as_of: Option<u64>,
    newest: u64,
    current: Option<Timestamp>,
    asked: Option<Timestamp>,
}

impl PublishedView {
    /// Revision up to which the view is complete; `None` until everything was read once.
    pub fn as_of(&self) -> Option<u64> {
        self.as_of
    }

    /// Takes one change; returns whether it is newer than what is known of its key.
    pub fn apply(&mut self, event: &PublishedEvent) -> bool {
        match event {
            PublishedEvent::Written(item) => {
                let known = self.items.get(&item.key);
                if known.is_some_and(|known| known.item.rev >= item.rev) {
                    return false;
                }
                let news_rev = known.map_or(0, |known| known.news_rev);
                let known = Known { item: item.clone(), news_rev };
                self.items.insert(item.key.clone(), known);
            }
            PublishedEvent::Removed { key, rev } => {
                if self.items.get(key).is_none_or(|known| known.item.rev >= *rev) {
                    return false;
                }
                self.items.remove(key);
                self.remember_removal(key, *rev);
            }
        }
        true
    }

    /// Notes that others need to know the last change of `key`.
    pub fn mark_for_sharing(&mut self, key: &str) {
        if let Some(known) = self.items.get_mut(key) {
            known.news_rev = known.item.rev;
            self.newest = self.newest.max(known.item.rev);
        }
    }

    /// Turns a whole listing into the changes that lead to it.
    pub fn changes_to(&self, listed: Vec<PublishedItem>, as_of: u64) -> Vec<PublishedEvent> {
        let keys: Vec<&str> = listed.iter().map(|item| item.key.as_str()).collect();
        let removed = self
            .items
            .values()
            .map(|known| &known.item)
            .filter(|item| item.rev <= as_of && !keys.contains(&item.key.as_str()));
        let mut events: Vec<PublishedEvent> = removed
            .map(|item| PublishedEvent::Removed {
                key: item.key.clone(),
                rev: as_of.max(item.rev + 1),
            })
            .collect();
        events.extend(listed.into_iter().map(PublishedEvent::Written));
        events
    }

    /// Notes that every change up to a revision is taken, which was current at `at`.
    pub fn on_complete(&mut self, as_of: u64, at: Timestamp) {
        if self.as_of.is_none() {
            self.removed_from = as_of;
        }
        self.as_of = self.as_of.max(Some(as_of));
        self.current = self.current.max(Some(at));
    }

    /// Notes that changes were missed; everything has to be read anew.
    pub fn on_history_lost(&mut self) {
        self.as_of = None;
    }

    /// Whether somebody has read it lately enough.
    pub fn is_current(&self, now: Timestamp) -> bool {
        self.current.is_some_and(|at| now.since(at) < CURRENT_TIME)
    }

    /// How far this view goes.
    pub fn digest(&self, now: Timestamp) -> ViewDigest {
        ViewDigest { newest: self.newest, as_of: self.as_of, age_ms: self.age_ms(now) }
    }

    /// Takes how far another view goes; returns whether its changes should be asked for.
    pub fn on_peer_digest(&mut self, now: Timestamp, peer: &ViewDigest, reads: bool) -> bool {
        if self.as_of.is_some_and(|as_of| as_of >= peer.newest) {
            if let (Some(as_of), Some(age)) = (peer.as_of, peer.age_ms) {
                self.on_complete(as_of, now - Duration::from_millis(age));
            }
            return false;
        }
        let asked = self.asked.is_some_and(|at| now.since(at) < ASK_PAUSE);
        if peer.newest == 0 || asked || (reads && !self.is_out_of_touch(now)) {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// What an instance needs whose view goes up to `after`.
    pub fn changes_after(&self, now: Timestamp, after: Option<u64>) -> ViewChanges {
        let known_from = after.filter(|after| self.as_of.is_some() && *after >= self.removed_from);
        let is_new = |known: &&Known| known_from.is_none_or(|after| known.news_rev > after);
        let written = self.items.values().filter(is_new).map(|known| known.item.clone());
        let mut events: Vec<PublishedEvent> = written.map(PublishedEvent::Written).collect();
        if let Some(after) = known_from {
            let removed = self.removed.iter().filter(|(rev, _)| *rev > after);
            events.extend(
                removed.map(|(rev, key)| PublishedEvent::Removed { key: key.clone(), rev: *rev }),
            );
        }
        events.sort_by_key(PublishedEvent::rev);
        ViewChanges {
            whole: known_from.is_none(),
            as_of: self.as_of,
            age_ms: self.age_ms(now),
            after_outage: false,
            events,
        }
    }

    fn age_ms(&self, now: Timestamp) -> Option<u64> {
        let age = now.since(self.current?).as_millis();
        Some(u64::try_from(age).unwrap_or(u64::MAX))
    }

    fn is_out_of_touch(&self, now: Timestamp) -> bool {
        let Some(succeeded) = self.succeeded else { return true };
        self.failed > self.succeeded || now.since(succeeded) >= OUT_OF_TOUCH
    }

    fn remember_removal(&mut self, key: &str, rev: u64) {
        self.newest = self.newest.max(rev);
        self.removed.push_back((rev, key.to_owned()));
        if self.removed.len() > MAX_REMOVED
            && let Some((rev, _)) = self.removed.pop_front()
        {
            self.removed_from = self.removed_from.max(rev);
        }
    }
}

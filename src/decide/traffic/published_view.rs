//! One instance's view of one topic of the published state: its copy of the items.
//!
//! A few instances read the published state; the others get its changes from peers by
//! anti-entropy: each compares a peer's [`ViewDigest`] with its own view and asks for the
//! changes that it lacks. A view knows up to which revision it is complete, and when that was
//! current. An instance that gets no digest of a current view any more reads for itself.
//!
//! A store that was restored from a copy counts its revisions anew, in a new era. Revisions are
//! compared only within an era. A view keeps the items of the older era until a whole listing of
//! the new one replaces them; a peer in a newer era is asked for all of its items. A store's first
//! era may be 0, which is also what holds before an era is known: the lowest one in either case.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::Coverage;
use super::EraCheck;
use super::HistoryKnowledge;
use super::HistoryStep;
use super::OddItemLog;
use super::PublishedEvent;
use super::PublishedItem;
use super::ViewChanges;
use super::ViewDigest;
use crate::decide::reads::FailingRead;
use crate::decide::reads::PendingRead;
use crate::decide::reads::ReadHealth;
use crate::names::Timestamp;

/// Most tombstones that are kept for peers.
const MAX_TOMBSTONES: usize = 512;
/// Time after an old listing within which an instance waits for what came after it.
const OLD_LISTING_WAIT: Duration = Duration::from_secs(5);
/// Age of a view from which on an instance that relies on peers reads the published state.
const CURRENT_MAX_AGE: Duration = Duration::from_millis(2500);
/// Time without a successful read after which a reader takes changes from peers too.
const READS_FAILING_AFTER: Duration = Duration::from_millis(2700);
/// Time for which requested changes are awaited before they are requested of another instance.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a current view after which the published state counts as having been down, so
/// that items may have expired meanwhile.
const MIN_OUTAGE: Duration = Duration::from_millis(2000);

#[derive(Clone, Debug)]
struct KnownItem {
    item: PublishedItem,
    /// Revision of the last change that peers need; 0 if there's none.
    shared_rev: u64,
}

/// A change that a peer has and this instance lacks.
#[derive(Clone, Copy, Debug)]
struct LackedChange {
    rev: u64,
    /// When a peer was first known to have it, or one before it.
    since: Timestamp,
}

/// One instance's copy of one topic of the published state.
#[derive(Clone, Debug, Default)]
pub struct PublishedView {
    /// When a call to the published state failed last.
    pub last_failure: Option<Timestamp>,
    /// When a call to the published state succeeded last.
    pub last_success: Option<Timestamp>,
    /// Whether calls to the published state fail, and what of that is logged.
    pub reads: ReadHealth,
    /// What the store's history tells of the changes before those that are followed.
    pub history: HistoryKnowledge,
    /// Items that can't be read, as far as they were logged.
    pub odd_items: OddItemLog,
    items: BTreeMap<String, KnownItem>,
    tombstones: VecDeque<(u64, String)>,
    /// Revision after which there's a tombstone of every removal.
    tombstones_complete_after: u64,
    as_of: Option<u64>,
    /// Revision after which changes can be followed; that of a part that was listed is above `as_of`.
    followed_to: Option<u64>,
    /// Whether changes were missed that only a listing can make up for.
    has_gap: bool,
    /// Revision of the newest part that was listed or followed; what is above `as_of` has gaps.
    part_to: Option<u64>,
    /// Whether the part that was listed has what matters most.
    has_main_part: bool,
    newest_shared: u64,
    current_at: Option<Timestamp>,
    last_requested: Option<Timestamp>,
    /// Era of the items; 0 until it is known.
    era: u64,
    /// Highest era that a response of the store was from.
    highest_era: u64,
    outage_ended: Option<Timestamp>,
    was_listed: bool,
    /// Until when what came after an old listing is waited for; `None` if nothing is.
    old_until: Option<Timestamp>,
    /// Since when every change is followed.
    followed_since: Option<Timestamp>,
    lacked: Option<LackedChange>,
}

impl PublishedView {
    /// An empty view, with what is known of its store's history.
    pub fn new(history: HistoryKnowledge) -> Self {
        Self { history, ..Self::default() }
    }

    /// Revision up to which the view is complete; `None` until everything was read once, and again
    /// after the store was restored.
    pub fn as_of(&self) -> Option<u64> {
        self.as_of.filter(|_| self.highest_era <= self.era)
    }

    /// Revision after which changes can be followed, that of a complete view or of a part that was
    /// listed; `None` if something has to be listed first.
    pub fn followed_to(&self) -> Option<u64> {
        self.followed_to.filter(|_| self.highest_era <= self.era)
    }

    /// Whether changes are followed from a part on that was listed, since the whole can't be.
    pub fn is_part(&self) -> bool {
        self.followed_to() > self.as_of()
    }

    /// Whether the view has what the topic matters most for, up to the revision that is followed.
    pub fn has_main_part(&self) -> bool {
        self.followed_to().is_some() && (!self.is_part() || self.has_main_part)
    }

    /// Era of the revisions; 0 until it is known.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Whether everything was read at least once.
    pub fn was_listed(&self) -> bool {
        self.was_listed
    }

    /// Whether the view is good enough to serve requests: everything was read, and what was old has
    /// been brought up to date or couldn't be for long.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        let is_old = self.old_until.is_some_and(|until| now < until) && !self.is_current(now);
        self.was_listed && !is_old
    }

    /// Time over which every change is known: those that were followed, and those before that
    /// which the store's history told.
    pub fn coverage(&self, now: Timestamp) -> Coverage {
        let Some(since) = self.followed_since.filter(|_| self.is_current(now)) else {
            return Coverage::Unknown;
        };
        self.history.coverage(now, since)
    }

    /// Whether the store told of the changes before those that are followed, as far as it keeps them.
    pub fn has_told_history(&self, now: Timestamp) -> bool {
        let since = self.followed_since.filter(|_| self.is_current(now));
        since.is_some_and(|since| self.history.has_told(since))
    }

    /// What to do to learn of the changes before those that are followed.
    pub fn history_step(&self, now: Timestamp) -> HistoryStep {
        let since = self.followed_since.filter(|_| self.is_current(now));
        match since.zip(self.as_of()) {
            Some((since, newest)) => self.history.step(now, since, newest),
            None => HistoryStep::Nothing,
        }
    }

    /// For how long a peer has been known to have changes that this instance lacks; `None` if it
    /// lacks none.
    pub fn lacks_for(&self, now: Timestamp) -> Option<Duration> {
        Some(now.since(self.lacked?.since))
    }

    /// Records that the store has shown all changes up to the present.
    pub fn on_store_read(&mut self) {
        self.lacked = None;
    }

    /// Compares the era of a response of the store with that of the view; `None` if the response
    /// names none.
    pub fn on_store_era(&mut self, era: Option<u64>) -> EraCheck {
        let Some(era) = era else { return EraCheck::Same };
        if era < self.highest_era {
            return EraCheck::Older;
        }
        self.highest_era = era;
        if era > self.era { EraCheck::Newer } else { EraCheck::Same }
    }

    /// Prepares the view for a whole listing of `era`; returns whether that is a new era for a
    /// view with items, whose revisions then no longer count.
    pub fn begin_era(&mut self, now: Timestamp, era: u64) -> bool {
        if era <= self.era {
            return false;
        }
        let is_restored = self.was_listed;
        self.era = era;
        self.highest_era = self.highest_era.max(era);
        if !is_restored {
            return false;
        }
        for known in self.items.values_mut() {
            known.item.rev = 0;
            known.shared_rev = 0;
        }
        self.tombstones.clear();
        self.followed_to = None;
        self.part_to = None;
        self.newest_shared = 0;
        self.as_of = None;
        self.lacked = None;
        self.outage_ended = Some(now);
        true
    }

    /// Records that the view is about to become current as of `at`: if it wasn't for long, an
    /// outage of the published state has ended.
    pub fn on_contact(&mut self, at: Timestamp) {
        if self.current_at.is_some_and(|last| at.since(last) >= MIN_OUTAGE) {
            self.outage_ended = Some(at);
        }
    }

    /// End of the last outage of the published state; `None` if there was none.
    pub fn outage_ended(&self) -> Option<Timestamp> {
        self.outage_ended
    }

    /// Applies one change; returns `false` if the view has that or a newer state of the key.
    pub fn apply(&mut self, event: &PublishedEvent) -> bool {
        match event {
            PublishedEvent::Written(item) => {
                let known = self.items.get(&item.key);
                if known.is_some_and(|known| known.item.rev >= item.rev) {
                    return false;
                }
                if known.is_none() && self.was_removed_after(item) {
                    return false;
                }
                if let Some(known) = self.items.get_mut(&item.key)
                    && known.item.rev == 0
                    && known.item.value == item.value
                {
                    // The same as in the era before.
                    known.item.rev = item.rev;
                    return false;
                }
                let known = self.items.get(&item.key);
                let shared_rev = known.map_or(0, |known| known.shared_rev);
                let known = KnownItem { item: item.clone(), shared_rev };
                self.items.insert(item.key.clone(), known);
            }
            PublishedEvent::Removed { key, rev } => {
                let Some(known) = self.items.get(key) else {
                    // A peer may have seen the item between its write and its removal.
                    if self.as_of.is_some_and(|as_of| *rev > as_of) {
                        self.add_tombstone(key, *rev);
                    }
                    return false;
                };
                if known.item.rev >= *rev {
                    return false;
                }
                self.items.remove(key);
                self.add_tombstone(key, *rev);
            }
        }
        true
    }

    /// Whether a later removal of an item is known than it was written: whoever told of it, a peer or a
    /// listing, may be from before that.
    fn was_removed_after(&self, item: &PublishedItem) -> bool {
        self.tombstones.iter().any(|(rev, key)| *key == item.key && *rev > item.rev)
    }

    /// Marks the last change of `key` as one that peers need.
    pub fn mark_for_sharing(&mut self, key: &str) {
        if let Some(known) = self.items.get_mut(key) {
            known.shared_rev = known.item.rev;
            self.newest_shared = self.newest_shared.max(known.item.rev);
        }
    }

    /// Whether an answer of a peer, which may have taken long, has anything for this view.
    pub fn takes(&self, changes: &ViewChanges) -> bool {
        if changes.era != self.era {
            // An older one is from before the store was restored, changes are for a request from before.
            return changes.as_of.is_some() && changes.era > self.era && changes.whole;
        }
        // What was removed since isn't known here, if this view never had it.
        changes.as_of.is_some() && self.as_of() <= changes.as_of
    }

    /// Whether a listing, which may have taken long, is no older than what peers told meanwhile. What was
    /// removed since isn't known here, if this view never had it.
    pub fn takes_listing(&self, era: u64, as_of: u64) -> bool {
        era > self.era || era == self.era && self.as_of() <= Some(as_of)
    }

    /// The changes that lead from this view to a whole listing.
    pub fn changes_to(&self, listed: Vec<PublishedItem>, as_of: u64) -> Vec<PublishedEvent> {
        let keys: HashSet<&str> = listed.iter().map(|item| item.key.as_str()).collect();
        let removed = self
            .items
            .values()
            .map(|known| &known.item)
            .filter(|item| item.rev <= as_of && !keys.contains(item.key.as_str()));
        let mut events: Vec<PublishedEvent> = removed
            .map(|item| PublishedEvent::Removed {
                key: item.key.clone(),
                rev: as_of.max(item.rev.saturating_add(1)),
            })
            .collect();
        events.extend(listed.into_iter().map(PublishedEvent::Written));
        events
    }

    /// Records that every change up to `as_of` is applied, and that this was current at `at`; zero
    /// if it isn't known when.
    pub fn on_complete(&mut self, as_of: u64, at: Timestamp) {
        if self.as_of.is_none() {
            self.tombstones_complete_after = as_of;
            if self.was_listed {
                self.newest_shared = self.newest_shared.max(as_of);
            }
        }
        self.was_listed = true;
        if at > Timestamp::ZERO {
            self.followed_since.get_or_insert(at);
            self.old_until = None;
        }
        self.on_contact(at);
        if self.as_of < Some(as_of) {
            self.as_of = Some(as_of);
            self.followed_to = self.followed_to.max(self.as_of);
        }
        self.lacked = self.lacked.filter(|lacked| Some(lacked.rev) > self.as_of);
        self.current_at = self.current_at.max(Some(at));
    }

    /// Records that a listing of revision `as_of` is applied, which was current at `at`. What was written
    /// and removed again in a gap before it isn't known.
    pub fn on_listed(&mut self, as_of: u64, at: Timestamp) {
        if self.has_gap && self.as_of.is_some() {
            self.tombstones_complete_after = self.tombstones_complete_after.max(as_of);
            self.newest_shared = self.newest_shared.max(as_of);
        }
        self.on_complete(as_of, at);
        self.has_gap = false;
        self.followed_to = self.as_of;
    }

    /// Records that all items that a peer has are applied, complete up to `as_of` and current at `at`. What
    /// was written and removed again before isn't known.
    pub fn on_peers_items(&mut self, as_of: u64, at: Timestamp) {
        if self.as_of.is_some() {
            self.tombstones_complete_after = self.tombstones_complete_after.max(as_of);
        }
        // A listing that was begun before doesn't follow on it.
        self.has_gap = true;
        self.on_complete(as_of, at);
    }

    /// Records that a part of the items of revision `as_of` is applied, so that changes can be followed
    /// from there on, but nothing of the others is known.
    /// `has_main_part` is whether it has what the topic matters most for.
    pub fn on_part(&mut self, as_of: u64, at: Timestamp, has_main_part: bool) {
        self.has_main_part = has_main_part;
        self.followed_since = None;
        self.followed_to = Some(as_of);
        self.begin_part(as_of);
        self.was_listed = true;
        self.old_until = None;
        self.lacked = self.lacked.filter(|lacked| lacked.rev > as_of);
        self.on_contact(at);
        self.current_at = self.current_at.max(Some(at));
    }

    /// Prepares the view for a part of the items of revision `as_of`.
    pub fn begin_part(&mut self, as_of: u64) {
        self.part_to = self.part_to.max(Some(as_of));
        self.has_gap = true;
    }

    /// Records that the changes up to `as_of` that follow on the view were applied.
    pub fn on_followed(&mut self, as_of: u64, at: Timestamp) {
        if self.is_part() {
            self.on_part(as_of, at, self.has_main_part);
        } else {
            self.on_complete(as_of, at);
            self.has_gap = false;
        }
    }

    /// Records that the listing which was just applied may be old, so that the view isn't current.
    pub fn on_old_listing(&mut self, now: Timestamp) {
        self.old_until = Some(now + OLD_LISTING_WAIT);
        self.current_at = None;
        self.followed_since = None;
    }

    /// Records that changes were missed, so that everything has to be read again. What the view has
    /// still holds as of its revision.
    pub fn on_history_lost(&mut self) {
        self.followed_to = None;
        self.followed_since = None;
        self.has_gap = true;
    }

    /// Whether the view was current lately, by this instance's own reads or a peer's.
    pub fn is_current(&self, now: Timestamp) -> bool {
        self.current_at.is_some_and(|at| now.since(at) < CURRENT_MAX_AGE)
    }

    /// The failure of its reads, under this name of the topic; `None` if they don't fail.
    pub fn failing_read(&self, now: Timestamp, topic: &'static str) -> Option<FailingRead> {
        let failure = self.reads.failure(now)?;
        let last_read_ms = self.last_success.map(|at| as_millis(now.since(at)));
        Some(FailingRead { topic, failure, last_read_ms })
    }

    /// The read that has had no answer for long, under this name of the topic; `None` if there is none.
    pub fn pending_read(&self, now: Timestamp, topic: &'static str) -> Option<PendingRead> {
        let pending = self.reads.pending(now)?;
        Some(PendingRead { topic, pending_ms: as_millis(pending) })
    }

    /// Summary of this view, for peers: of what it has beyond a complete view they needn't know.
    pub fn digest(&self, now: Timestamp) -> ViewDigest {
        let most = if self.has_part_beyond() { self.as_of.unwrap_or_default() } else { u64::MAX };
        ViewDigest {
            newest: self.newest_shared.min(most),
            as_of: self.as_of,
            age_ms: self.age_ms(now),
            era: self.era,
            removals_after: self.tombstones_complete_after,
        }
    }

    /// Compares a peer's view with this one; returns whether to request the peer's changes.
    ///
    /// `is_reader` is whether this instance reads the published state itself. If this view lacks
    /// nothing that it needs, it counts as complete and current as the peer's.
    pub fn on_peer_digest(&mut self, now: Timestamp, peer: &ViewDigest, is_reader: bool) -> bool {
        let is_newer_era = peer.era > self.era && self.was_listed;
        if peer.era < self.era {
            return false;
        }
        let is_part = self.is_part();
        let relies_on_peers = !is_reader || is_part || self.are_reads_failing(now);
        if is_part && !is_newer_era && self.followed_to() >= Some(peer.newest) {
            let has_more = peer.as_of > self.as_of();
            return has_more && self.try_request(now);
        }
        if !is_newer_era && self.as_of().is_some_and(|as_of| as_of >= peer.newest) {
            if self.as_of().is_some_and(|as_of| as_of < peer.removals_after) {
                // An item may have been removed in between that the peer never knew. All of its items
                // tell, which are asked for only where nothing else does.
                let is_stuck =
                    relies_on_peers && self.are_reads_failing(now) && !self.is_current(now);
                return is_stuck && self.try_request(now);
            }
            if let (Some(as_of), Some(age)) = (peer.as_of, peer.age_ms) {
                // A reader may have seen changes that were undone before the peer's next read, so
                // it has to read what follows them itself.
                let as_of = if relies_on_peers { as_of } else { 0 };
                self.on_complete(as_of, now - Duration::from_millis(age));
            }
            return false;
        }
        // One whose view isn't complete has nothing to give.
        if peer.as_of.is_none() {
            return false;
        }
        if self.was_listed && !is_newer_era {
            let since = self.lacked.map_or(now, |lacked| lacked.since);
            self.lacked = Some(LackedChange { rev: peer.newest, since });
        }
        // That a topic has no items is worth to be known where nothing is.
        let lacks_all = is_newer_era || !self.was_listed;
        let has_nothing = peer.newest == 0 && !lacks_all;
        !has_nothing && relies_on_peers && self.try_request(now)
    }

    /// Whether changes may be requested now, which is then recorded.
    fn try_request(&mut self, now: Timestamp) -> bool {
        if self.last_requested.is_some_and(|at| now.since(at) < REQUEST_INTERVAL) {
            return false;
        }
        self.last_requested = Some(now);
        true
    }

    /// The changes that a peer needs whose view is complete up to `after` of `era`; all items if
    /// `after` is `None`, of another era, or older than the tombstones reach.
    pub fn changes_after(&self, now: Timestamp, era: u64, after: Option<u64>) -> ViewChanges {
        let known_from = after.filter(|after| {
            era == self.era && self.as_of.is_some() && *after >= self.tombstones_complete_after
        });
        let is_new = |known: &&KnownItem| known_from.is_none_or(|after| known.shared_rev > after);
        let written = self.items.values().filter(is_new).map(|known| known.item.clone());
        let mut events: Vec<PublishedEvent> = written.map(PublishedEvent::Written).collect();
        if let Some(after) = known_from {
            let removed = self.tombstones.iter().filter(|(rev, _)| *rev > after);
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
            outage_ended_ms: self.outage_ended.map(|at| as_millis(now.since(at))),
            era: self.era,
            events,
            references: Vec::new(),
        }
    }

    /// Age of what is complete, in ms; `None` if it isn't known.
    fn age_ms(&self, now: Timestamp) -> Option<u64> {
        let current_at = self.current_at.filter(|_| !self.has_part_beyond())?;
        Some(as_millis(now.since(current_at)))
    }

    /// Whether the view has a part of what came after its complete revision, even one that can't be
    /// followed any more.
    fn has_part_beyond(&self) -> bool {
        self.part_to > self.as_of
    }

    fn are_reads_failing(&self, now: Timestamp) -> bool {
        let Some(last_success) = self.last_success else { return true };
        self.last_failure > self.last_success || now.since(last_success) >= READS_FAILING_AFTER
    }

    fn add_tombstone(&mut self, key: &str, rev: u64) {
        self.newest_shared = self.newest_shared.max(rev);
        self.tombstones.push_back((rev, key.to_owned()));
        if self.tombstones.len() > MAX_TOMBSTONES
            && let Some((rev, _)) = self.tombstones.pop_front()
        {
            self.tombstones_complete_after = self.tombstones_complete_after.max(rev);
        }
    }
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

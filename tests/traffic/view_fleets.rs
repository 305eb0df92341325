//! A model of instances whose views of one topic come from a store that discards its history and can't
//! always be listed, and from each other.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::traffic::PublishedEvent;
use tamaracklead::decide::traffic::PublishedItem;
use tamaracklead::decide::traffic::PublishedView;
use tamaracklead::decide::traffic::ViewChanges;
use tamaracklead::names::Timestamp;

use crate::support::at;

/// Interval between steps, in ms.
const STEP: u64 = 100;
const STEPS: u64 = 300;
/// Steps without changes and faults, after which all views are whole.
const QUIET_STEPS: u64 = 150;
const VIEWS: usize = 5;
const READERS: usize = 2;
/// Runs, unless the environment names another number.
const RUNS: u64 = 300;

#[derive(Default)]
struct Store {
    rev: u64,
    era: u64,
    items: BTreeMap<String, u64>,
    log: Vec<PublishedEvent>,
    discarded_to: u64,
    can_list: bool,
}

impl Store {
    fn change(&mut self, rng: &mut ChaCha8Rng) {
        self.rev += 1;
        let key = format!("k{}", rng.random_range(0..8));
        let rev = self.rev;
        if rng.random_bool(0.4) && self.items.remove(&key).is_some() {
            self.log.push(PublishedEvent::Removed { key, rev });
        } else {
            self.items.insert(key.clone(), rev);
            self.log.push(PublishedEvent::Written(item(&key, rev)));
        }
    }

    /// Goes back to an earlier state in a new era.
    fn restore(&mut self, rng: &mut ChaCha8Rng) {
        self.era += 1;
        self.rev = self.rev.saturating_sub(rng.random_range(0..5)).max(1);
        self.items.retain(|_, rev| *rev <= self.rev);
        self.discarded_to = self.rev;
        self.log.clear();
    }

    fn listed(&self) -> Vec<PublishedItem> {
        self.items.iter().map(|(key, rev)| item(key, *rev)).collect()
    }
}

fn item(key: &str, rev: u64) -> PublishedItem {
    PublishedItem { key: key.to_owned(), value: Bytes::from(rev.to_string()), rev, created: 0 }
}

struct Instance {
    view: PublishedView,
    is_cut: bool,
    /// Answer of a peer that hasn't arrived yet.
    answer: Option<ViewChanges>,
    /// Listing of the store whose pages haven't all arrived: items, revision, era.
    listing: Option<(Vec<PublishedItem>, u64, u64)>,
}

impl Instance {
    fn new() -> Self {
        Self { view: PublishedView::default(), is_cut: false, answer: None, listing: None }
    }

    fn apply(&mut self, events: &[PublishedEvent]) {
        for event in events {
            if self.view.apply(event)
                && let PublishedEvent::Written(item) = event
            {
                self.view.mark_for_sharing(&item.key);
            }
        }
    }

    /// Reads the store as the relay does.
    fn read(&mut self, rng: &mut ChaCha8Rng, now: Timestamp, store: &Store) {
        if self.is_cut {
            self.view.last_failure = Some(now);
            return;
        }
        let lists =
            self.view.followed_to().is_none() || self.view.is_part() && rng.random_bool(0.2);
        if lists && store.can_list {
            self.listing = Some((store.listed(), store.rev, store.era));
            self.view.on_store_era(Some(store.era));
        } else if lists && rng.random_bool(0.3) {
            self.view.on_store_era(Some(store.era));
            self.take_part(rng, now, store);
        } else if lists && self.view.followed_to().is_none() {
            self.view.last_failure = Some(now);
        } else {
            self.watch(now, store);
        }
    }

    fn take_part(&mut self, rng: &mut ChaCha8Rng, now: Timestamp, store: &Store) {
        let mut part = store.listed();
        part.truncate(rng.random_range(0..=part.len()));
        self.view.on_contact(now);
        self.view.begin_era(now, store.era);
        self.view.begin_part(store.rev);
        let events: Vec<_> = part.into_iter().map(PublishedEvent::Written).collect();
        self.apply(&events);
        self.view.on_part(store.rev, now, true);
        self.view.last_success = Some(now);
    }

    fn watch(&mut self, now: Timestamp, store: &Store) {
        self.view.on_store_era(Some(store.era));
        let Some(after) = self.view.followed_to() else { return };
        self.view.last_success = Some(now);
        if after < store.discarded_to {
            self.view.on_history_lost();
            return;
        }
        let events: Vec<_> =
            store.log.iter().filter(|event| event.rev() > after).cloned().collect();
        self.view.on_contact(now);
        self.apply(&events);
        self.view.on_followed(store.rev, now);
        self.view.on_store_read();
    }

    fn end_listing(&mut self, now: Timestamp) {
        let Some((items, as_of, era)) = self.listing.take() else { return };
        if !self.view.takes_listing(era, as_of) {
            return;
        }
        self.view.on_contact(now);
        self.view.begin_era(now, era);
        let events = self.view.changes_to(items, as_of);
        self.apply(&events);
        self.view.on_listed(as_of, now);
        self.view.on_store_read();
        self.view.last_success = Some(now);
    }

    fn end_answer(&mut self, now: Timestamp) {
        let Some(changes) = self.answer.take() else { return };
        let Some(as_of) = changes.as_of else { return };
        if !self.view.takes(&changes) {
            return;
        }
        self.view.begin_era(now, changes.era);
        let age = changes.age_ms.map_or(Duration::MAX, Duration::from_millis);
        let current_at = now - age;
        if changes.whole {
            let items = changes.events.into_iter().filter_map(|event| match event {
                PublishedEvent::Written(item) => Some(item),
                PublishedEvent::Removed { .. } => None,
            });
            let events = self.view.changes_to(items.collect(), as_of);
            self.apply(&events);
            self.view.on_peers_items(as_of, current_at);
        } else {
            self.apply(&changes.events);
            self.view.on_complete(as_of, current_at);
        }
    }

    fn must_read(&self, now: Timestamp, is_reader: bool) -> bool {
        let lacks = self.view.lacks_for(now).is_some_and(|time| time.as_millis() >= 1000);
        is_reader || self.view.as_of().is_none() || lacks || !self.view.is_current(now)
    }

    fn keys(&self) -> BTreeMap<String, u64> {
        let all = self.view.changes_after(at(0), u64::MAX, None);
        all.events.iter().map(|event| (event.key().to_owned(), event.rev())).collect()
    }
}

/// What is wrong after one run.
fn play(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut store = Store { rev: 1, era: 1, can_list: true, ..Store::default() };
    let mut fleet: Vec<Instance> = (0..VIEWS).map(|_| Instance::new()).collect();
    for step in 1..STEPS + QUIET_STEPS {
        let now = at(10_000 + step * STEP);
        if step < STEPS {
            disturb(&mut rng, &mut store, &mut fleet);
        } else {
            store.can_list = true;
            fleet.iter_mut().for_each(|instance| instance.is_cut = false);
        }
        for (i, instance) in fleet.iter_mut().enumerate() {
            if rng.random_bool(0.5) {
                instance.end_listing(now);
            }
            if rng.random_bool(0.5) {
                instance.end_answer(now);
            }
            if instance.listing.is_none() && instance.must_read(now, i < READERS) {
                instance.read(&mut rng, now, &store);
            }
        }
        exchange(&mut rng, now, &mut fleet);
    }
    let now = at(10_000 + (STEPS + QUIET_STEPS) * STEP);
    let mut faults = Vec::new();
    for (i, instance) in fleet.iter().enumerate() {
        let keys = instance.keys();
        if keys.keys().ne(store.items.keys()) {
            faults.push(format!("seed {seed}: {i} has {keys:?}, the store {:?}", store.items));
        }
        if instance.view.as_of().is_none() || instance.view.is_part() {
            faults.push(format!("seed {seed}: {i} isn't complete"));
        }
        if let Some(time) = instance.view.lacks_for(now) {
            faults.push(format!("seed {seed}: {i} lacks changes for {time:?}"));
        }
        if !instance.view.is_current(now) {
            faults.push(format!("seed {seed}: {i} isn't current"));
        }
    }
    faults
}

fn disturb(rng: &mut ChaCha8Rng, store: &mut Store, fleet: &mut [Instance]) {
    if rng.random_bool(0.3) {
        store.change(rng);
    }
    if rng.random_bool(0.03) {
        store.discarded_to = store.rev;
    }
    if rng.random_bool(0.05) {
        store.can_list = !store.can_list;
    }
    if rng.random_bool(0.003) {
        store.restore(rng);
    }
    let chosen = &mut fleet[rng.random_range(0..VIEWS)];
    if rng.random_bool(0.05) {
        chosen.is_cut = !chosen.is_cut;
    }
    if rng.random_bool(0.005) {
        *chosen = Instance::new();
    }
}

fn exchange(rng: &mut ChaCha8Rng, now: Timestamp, fleet: &mut [Instance]) {
    for i in 0..VIEWS {
        let from = rng.random_range(0..VIEWS);
        if from == i || rng.random_bool(0.5) {
            continue;
        }
        let digest = fleet[from].view.digest(now);
        if fleet[i].view.on_peer_digest(now, &digest, i < READERS) {
            let (era, after) = (fleet[i].view.era(), fleet[i].view.as_of());
            fleet[i].answer = Some(fleet[from].view.changes_after(now, era, after));
        }
    }
}

// Guards against an instance that believes in a removed item, lacks changes or never gets complete after
// losses of history, parts, restores, cuts and restarts.
#[test]
fn all_views_equal_the_store_after_lost_histories() {
    let runs = std::env::var("TAMARACKLEAD_FUZZ_CASES").ok().and_then(|n| n.parse().ok());
    let faults: Vec<String> = (0..runs.unwrap_or(RUNS)).flat_map(play).collect();
    assert!(
        faults.is_empty(),
        "{} faults, such as {:#?}",
        faults.len(),
        &faults[..faults.len().min(8)]
    );
}

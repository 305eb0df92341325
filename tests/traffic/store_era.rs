//! A store of the published state that is restored from an older copy, so that its revisions are
//! given out again.

use std::collections::BTreeMap;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::traffic::EraCheck;
use tamaracklead::decide::traffic::PublishedEvent;
use tamaracklead::decide::traffic::PublishedItem;
use tamaracklead::decide::traffic::PublishedView;
use tamaracklead::decide::traffic::ReplicaEntry;
use tamaracklead::decide::traffic::ReplicaState;
use tamaracklead::decide::traffic::Replicas;
use tamaracklead::names::BackendName;
use tamaracklead::names::Timestamp;

use crate::support::at;
use crate::support::entry;
use crate::support::ms;

const REPLICAS: usize = 6;
const INSTANCES: usize = 5;

/// A store with a copy of itself; a value is the state of a replica.
#[derive(Clone, Debug, Default)]
struct Store {
    era: u64,
    rev: u64,
    items: BTreeMap<String, (u64, &'static str)>,
    removals: Vec<(u64, String)>,
    copy: Option<Box<Self>>,
}

impl Store {
    fn write(&mut self, key: &str, state: &'static str) {
        self.rev += 1;
        self.items.insert(key.to_owned(), (self.rev, state));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.removals.push((self.rev, key.to_owned()));
        }
    }

    fn take_copy(&mut self) {
        let copy = Self { copy: None, ..self.clone() };
        self.copy = Some(Box::new(copy));
    }

    fn restore(&mut self) {
        let Some(copy) = self.copy.clone() else { return };
        *self = Self { era: self.era + 1, copy: Some(copy.clone()), ..*copy };
    }

    fn listing(&self) -> Vec<PublishedItem> {
        let item = |(key, (rev, state)): (&String, &(u64, &'static str))| PublishedItem {
            key: key.clone(),
            value: Bytes::from_static(state.as_bytes()),
            rev: *rev,
            created: 0,
        };
        self.items.iter().map(item).collect()
    }

    fn events_after(&self, after: u64) -> Option<Vec<PublishedEvent>> {
        if after > self.rev {
            return None;
        }
        let written = self.listing().into_iter().filter(|item| item.rev > after);
        let removed = self.removals.iter().filter(|(rev, _)| *rev > after);
        let mut events: Vec<_> = written.map(PublishedEvent::Written).collect();
        events.extend(
            removed.map(|(rev, key)| PublishedEvent::Removed { key: key.clone(), rev: *rev }),
        );
        events.sort_by_key(PublishedEvent::rev);
        Some(events)
    }
}

/// One instance's view and replicas, which it updates as the relay does.
#[derive(Default)]
struct Instance {
    view: PublishedView,
    replicas: Replicas,
    /// Replicas that were seen draining; none of them may get requests again.
    left: Vec<BackendName>,
}

impl Instance {
    fn apply(&mut self, now: Timestamp, events: &[PublishedEvent], is_restored: bool) {
        let outage_ended = self.view.outage_ended();
        for event in events {
            if !self.view.apply(event) {
                continue;
            }
            match event {
                PublishedEvent::Written(item) => {
                    let entry = decode(item);
                    if entry.state == ReplicaState::Draining && !self.left.contains(&entry.name) {
                        self.left.push(entry.name.clone());
                    }
                    if is_restored {
                        self.replicas.on_restored_entry(now, entry);
                    } else {
                        self.replicas.on_entry(now, entry);
                    }
                    self.view.mark_for_sharing(&item.key);
                }
                PublishedEvent::Removed { key, .. } => {
                    self.replicas.on_removed(now, &BackendName::new(key), outage_ended);
                }
            }
        }
    }

    fn read(&mut self, now: Timestamp, store: &Store) {
        if self.view.on_store_era(Some(store.era)) == EraCheck::Newer {
            assert_eq!(self.view.as_of(), None, "a view of another era has to be listed anew");
        }
        match self.view.as_of().and_then(|as_of| store.events_after(as_of)) {
            Some(events) => {
                self.view.on_contact(now);
                self.apply(now, &events, false);
            }
            None => {
                self.view.on_contact(now);
                let is_restored = self.view.begin_era(now, store.era);
                let events = self.view.changes_to(store.listing(), store.rev);
                self.apply(now, &events, is_restored);
            }
        }
        self.view.on_complete(store.rev, now);
        self.view.last_success = Some(now);
    }

    fn learn_from(&mut self, now: Timestamp, peer: &Self, is_reader: bool) {
        if !self.view.on_peer_digest(now, &peer.view.digest(now), is_reader) {
            return;
        }
        let changes = peer.view.changes_after(now, self.view.era(), self.view.as_of());
        let Some(as_of) = changes.as_of else { return };
        if changes.era < self.view.era() || (changes.era != self.view.era() && !changes.whole) {
            return;
        }
        let is_restored = self.view.begin_era(now, changes.era);
        let events = if changes.whole {
            let items = changes.events.into_iter().filter_map(|event| match event {
                PublishedEvent::Written(item) => Some(item),
                PublishedEvent::Removed { .. } => None,
            });
            self.view.changes_to(items.collect(), as_of)
        } else {
            changes.events
        };
        self.apply(now, &events, is_restored);
        self.view.on_complete(as_of, now - ms(changes.age_ms.unwrap_or(60_000)));
    }

    fn check_leavers(&self, now: Timestamp, seed: u64) {
        for name in &self.left {
            let accepts = self.replicas.get(name).is_some_and(|r| r.accepts_requests(now));
            assert!(!accepts, "{name} left, but gets requests again; seed {seed}");
        }
    }

    fn items(&self, now: Timestamp) -> BTreeMap<String, Bytes> {
        let all = self.view.changes_after(now, u64::MAX, None);
        let item = |event| match event {
            PublishedEvent::Written(item) => Some((item.key, item.value)),
            PublishedEvent::Removed { .. } => None,
        };
        all.events.into_iter().filter_map(item).collect()
    }
}

fn decode(item: &PublishedItem) -> ReplicaEntry {
    let mut entry = entry(&item.key, &[]);
    if item.value == "draining" {
        entry.state = ReplicaState::Draining;
    }
    entry
}

fn name(index: usize) -> String {
    format!("r{index}")
}

/// The choices of one run, drawn from its seed.
fn random_step(rng: &mut ChaCha8Rng, store: &mut Store, living: &mut [bool; REPLICAS]) {
    let index = rng.random_range(0..REPLICAS);
    match rng.random_range(0..100) {
        0..50 if living[index] => store.write(&name(index), "ready"),
        50..70 => {
            living[index] = false;
            store.write(&name(index), "draining");
        }
        70..85 => {
            living[index] = false;
            store.remove(&name(index));
        }
        85..92 => store.take_copy(),
        92..95 => store.restore(),
        _ => {}
    }
}

/// Guards against views that stay apart, and against leaving replicas that get requests again,
/// in whatever order the store is restored, read and passed on.
#[test]
fn all_instances_end_on_the_state_of_the_store_and_no_leaver_returns() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Nothing says which number a store's first era has.
        let mut store = Store { era: seed % 2, rev: 1, ..Store::default() };
        let mut living = [true; REPLICAS];
        let mut fleet: Vec<Instance> = (0..INSTANCES).map(|_| Instance::default()).collect();
        let mut now = 0;
        for _ in 0..150 {
            now += rng.random_range(5..400);
            random_step(&mut rng, &mut store, &mut living);
            let reader = rng.random_range(0..2);
            if rng.random_bool(0.5) {
                fleet[reader].read(at(now), &store);
            }
            let (to, from) = (rng.random_range(0..INSTANCES), rng.random_range(0..INSTANCES));
            exchange(&mut fleet, now, to, from);
            for instance in &mut fleet {
                instance.replicas.drop_expired(at(now));
                instance.check_leavers(at(now), seed);
            }
        }
        for round in 0..60 {
            now += 300;
            fleet[0].read(at(now), &store);
            fleet[1].read(at(now), &store);
            exchange(&mut fleet, now, 2 + round % 3, round % 2);
        }
        let want: BTreeMap<String, Bytes> =
            store.listing().into_iter().map(|item| (item.key, item.value)).collect();
        for instance in &fleet {
            assert_eq!(instance.items(at(now)), want, "seed {seed}");
            assert_eq!(instance.view.era(), store.era, "seed {seed}");
        }
    }
}

fn exchange(fleet: &mut [Instance], now: u64, to: usize, from: usize) {
    if to == from {
        return;
    }
    let peer = std::mem::take(&mut fleet[from]);
    fleet[to].learn_from(at(now), &peer, to < 2);
    fleet[from] = peer;
}

fn listed(names: &[&str]) -> (Store, Instance) {
    let mut store = Store { era: 1, rev: 1, ..Store::default() };
    for name in names {
        store.write(name, "ready");
    }
    let mut instance = Instance::default();
    instance.read(at(0), &store);
    (store, instance)
}

fn accepts(instance: &Instance, now: u64, name: &str) -> bool {
    let known = instance.replicas.get(&BackendName::new(name));
    known.is_some_and(|replica| replica.accepts_requests(at(now)))
}

#[test]
fn a_watch_that_goes_on_in_the_next_era_is_not_taken_for_complete() {
    let (mut store, mut instance) = listed(&["r0"]);
    store.take_copy();
    store.write("r1", "ready");
    instance.read(at(100), &store);
    store.restore();
    store.write("r2", "ready");
    store.write("r3", "ready");
    instance.read(at(200), &store);
    assert!(accepts(&instance, 250, "r2") && accepts(&instance, 250, "r3"));
}

/// A store that was restored from a copy without `r1`, and an instance that knows `r1` and has read
/// the store since, at 200 ms.
fn restored_without_r1() -> (Store, Instance) {
    let (mut store, mut instance) = listed(&["r0"]);
    store.take_copy();
    store.write("r1", "ready");
    instance.read(at(100), &store);
    store.restore();
    instance.read(at(200), &store);
    (store, instance)
}

#[test]
fn a_replica_that_the_copy_lacks_is_served_until_it_could_have_written_again() {
    let (mut store, mut instance) = restored_without_r1();
    assert!(accepts(&instance, 250, "r1"));
    store.write("r1", "ready");
    instance.read(at(1200), &store);
    instance.replicas.drop_expired(at(2500));
    assert!(accepts(&instance, 2500, "r1"), "it has written again");
}

#[test]
fn a_replica_that_the_copy_lacks_and_that_stays_away_is_gone_two_seconds_later() {
    let (_, mut instance) = restored_without_r1();
    instance.replicas.drop_expired(at(2100));
    assert!(instance.replicas.get(&BackendName::new("r1")).is_none());
}

#[test]
fn a_copy_does_not_bring_a_drained_replica_back() {
    let (mut store, mut instance) = listed(&["r0", "r1"]);
    store.take_copy();
    store.write("r1", "draining");
    instance.read(at(100), &store);
    store.remove("r1");
    instance.read(at(200), &store);
    store.restore();
    instance.read(at(300), &store);
    assert!(!accepts(&instance, 350, "r1"));
    instance.read(at(9000), &store);
    assert!(!accepts(&instance, 9000, "r1"), "it never accepts requests before a restart");
}

#[test]
fn a_copy_holds_a_removed_replica_back_until_its_entry_would_have_expired() {
    let (mut store, mut instance) = listed(&["r0", "r1"]);
    store.take_copy();
    store.remove("r1");
    instance.read(at(200), &store);
    store.restore();
    instance.read(at(300), &store);
    assert!(!accepts(&instance, 4000, "r1"), "the copy may name a replica that is gone");
    instance.read(at(4900), &store);
    assert!(accepts(&instance, 5400, "r1"), "its entry is still renewed");
}

#[test]
fn a_response_from_before_the_restore_is_ignored() {
    let (_, mut instance) = listed(&["r0"]);
    assert_eq!(instance.view.on_store_era(Some(2)), EraCheck::Newer);
    assert_eq!(instance.view.on_store_era(Some(1)), EraCheck::Older);
    assert_eq!(instance.view.on_store_era(None), EraCheck::Same);
}

#[test]
fn an_instance_cut_off_in_the_older_era_neither_undoes_nor_confirms_the_newer_one() {
    let (mut store, mut ahead) = listed(&["r0"]);
    let mut behind = Instance::default();
    behind.read(at(0), &store);
    store.take_copy();
    for _ in 0..20 {
        store.write("r0", "ready");
        store.write("r1", "ready");
    }
    behind.read(at(100), &store);
    store.restore();
    store.write("r2", "ready");
    ahead.read(at(200), &store);
    let digest = behind.view.digest(at(300));
    assert!(!ahead.view.on_peer_digest(at(300), &digest, false));
    behind.learn_from(at(400), &ahead, false);
    assert_eq!(behind.items(at(400)), ahead.items(at(400)));
}

#[test]
fn two_restores_in_a_row_end_on_the_last_one() {
    let (mut store, mut instance) = listed(&["r0"]);
    store.take_copy();
    store.write("r1", "ready");
    store.restore();
    store.restore();
    store.write("r2", "ready");
    instance.read(at(500), &store);
    assert_eq!((instance.view.era(), instance.view.as_of()), (3, Some(store.rev)));
    assert!(accepts(&instance, 600, "r2"));
}

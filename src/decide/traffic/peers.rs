//! The entry instances that this one knows of.
//!
//! Every instance raises its own beat; instances exchange all records that they
//! know, so a beat reaches everybody within a few exchanges. An instance whose
//! beat stands still counts as gone. There is no list to start from but a few
//! seeds, which may be out of date.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::PeerGossip;
use super::PeerRecord;
use crate::decide::rendezvous;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// Time without a new beat after which an instance counts as gone.
const SILENT_AFTER: Duration = Duration::from_millis(2000);
/// Time for which a silent instance still counts as part of the fleet.
const RECENT: Duration = Duration::from_secs(10);
/// Time after which a silent instance is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Time for which a changed record is told whole.
const TELL_CHANGED: Duration = Duration::from_millis(1500);
/// Instances that read the published state for all.
const READERS: usize = 5;
/// Key under which instances are ranked as readers.
const READER_KEY: &str = "reader";
/// Live instances that one round of exchanges reaches.
const FANOUT: usize = 3;
/// Instances whose starts are less than this apart have started together, in ms.
const SAME_START_MS: u64 = 2000;
/// Share of the recent fleet, itself included, that an instance must hear of to give orders.
const MIN_VIEW: f64 = 0.25;

#[derive(Clone, Debug)]
struct Known {
    record: PeerRecord,
    tag: u32,
    heard: Timestamp,
    /// When something other than the beat changed.
    changed: Timestamp,
}

/// The instances that one instance knows of.
#[derive(Clone, Debug)]
pub struct Peers {
    me: PeerRecord,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<InstanceName, Known>,
    /// Names by the tags of their records.
    tags: HashMap<u32, InstanceName>,
    needs_all_records: bool,
    round: u64,
}

impl Peers {
    /// An instance that knows of its seeds only.
    pub fn new(me: PeerRecord, seeds: Vec<SocketAddr>) -> Self {
        Self {
            me,
            seeds,
            known: BTreeMap::new(),
            tags: HashMap::new(),
            needs_all_records: true,
            round: 0,
        }
    }

    /// This instance's own record.
    pub fn me(&self) -> &PeerRecord {
        &self.me
    }

    /// Takes new seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Tells the others that this instance is shutting down.
    pub fn set_draining(&mut self) {
        self.me.draining = true;
    }

    /// Tells the others that this instance knows the fleet.
    pub fn set_settled(&mut self) {
        self.me.settled = true;
    }

    /// Starts a round of exchanges: raises the beat and returns the addresses to call.
    pub fn next_round(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        self.me.heartbeat += 1;
        self.round += 1;
        self.known.retain(|_, known| now.since(known.heard) < FORGET_AFTER);
        self.tags.retain(|_, name| self.known.contains_key(name));
        let mut targets = self.live_targets(now);
        targets.extend(self.silent_target(now));
        targets
    }

    /// What to tell another instance; all records if it lacks some.
    pub fn gossip(&self, now: Timestamp, whole: bool) -> PeerGossip {
        let heard = self.known.values().filter(|known| now.since(known.heard) < SILENT_AFTER);
        let (full, rest): (Vec<&Known>, Vec<&Known>) =
            heard.partition(|known| whole || now.since(known.changed) < TELL_CHANGED);
        let records = full.into_iter().map(|known| known.record.clone());
        PeerGossip {
            records: std::iter::once(self.me.clone()).chain(records).collect(),
            heartbeats: rest.into_iter().map(|known| (known.tag, known.record.heartbeat)).collect(),
            needs_all_records: self.needs_all_records,
        }
    }

    /// Takes what another instance tells.
    pub fn on_gossip(&mut self, now: Timestamp, news: PeerGossip) {
        for record in news.records {
            if record.name != self.me.name {
                self.on_record(now, record);
            }
        }
        let own = self.me.tag();
        self.needs_all_records = false;
        for (tag, heartbeat) in news.heartbeats {
            if tag != own {
                self.needs_all_records |= !self.on_beat(now, tag, heartbeat);
            }
        }
    }

    /// Takes what happened as heard now: this process stood still and heard nobody meanwhile.
    pub fn on_pause(&mut self, now: Timestamp) {
        for known in self.known.values_mut() {
            known.heard = now;
        }
    }

    /// Address of a live instance.
    pub fn addr_of(&self, now: Timestamp, name: &InstanceName) -> Option<SocketAddr> {
        self.known.get(name).filter(|known| is_live(now, known)).map(|known| known.record.addr)
    }

    /// Whether an instance is heard of.
    pub fn is_live(&self, now: Timestamp, name: &InstanceName) -> bool {
        self.known.get(name).is_some_and(|known| is_live(now, known))
    }

    /// Live instances besides this one.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = &PeerRecord> {
        let live = self.known.values().filter(move |known| is_live(now, known));
        live.map(|known| &known.record)
    }

    /// Instances that were part of the fleet lately, this one included.
    pub fn recent_count(&self, now: Timestamp) -> usize {
        1 + self.known.values().filter(|known| now.since(known.heard) < RECENT).count()
    }

    /// The most instances that are remembered, this one included.
    pub fn remembered_count(&self) -> usize {
        1 + self.known.len()
    }

    /// The instance that should give orders to a replica.
    ///
    /// One that has just started gets none while others are there, since taking over takes time;
    /// those that started together are alike.
    pub fn preferred_owner(&self, now: Timestamp, replica: &str) -> Option<&InstanceName> {
        let takers: Vec<&PeerRecord> =
            self.live(now).chain([&self.me]).filter(|record| !record.draining).collect();
        let settled = takers.iter().filter(|record| record.settled);
        let oldest = settled.map(|record| record.started_ms).min();
        let names = takers.into_iter().filter(|record| {
            record.settled || oldest.is_none_or(|at| record.started_ms < at + SAME_START_MS)
        });
        names
            .map(|record| &record.name)
            .max_by_key(|name| (rendezvous::score(replica, name.as_str()), *name))
    }

    /// Whether this instance is one of the few that read the published state for all.
    pub fn reads_published(&self, now: Timestamp) -> bool {
        let rank =
            |name: &InstanceName| (rendezvous::score(READER_KEY, name.as_str()), name.clone());
        let own = rank(&self.me.name);
        let before = self.live(now).filter(|record| !record.draining && rank(&record.name) > own);
        before.take(READERS).count() < READERS
    }

    /// Whether enough of the recent fleet is heard of to give orders.
    pub fn sees_enough_peers(&self, now: Timestamp) -> bool {
        let live = 1 + self.live(now).count();
        live as f64 >= MIN_VIEW * self.recent_count(now) as f64
    }

    fn on_record(&mut self, now: Timestamp, record: PeerRecord) {
        let age = |record: &PeerRecord| (record.started_ms, record.heartbeat);
        let known = self.known.get(&record.name);
        if known.is_some_and(|known| age(&record) <= age(&known.record)) {
            return;
        }
        let tag = record.tag();
        let changed = known.filter(|known| known.tag == tag).map_or(now, |known| known.changed);
        if let Some(known) = known.filter(|known| known.tag != tag) {
            self.tags.remove(&known.tag);
        }
        self.tags.insert(tag, record.name.clone());
        self.known.insert(record.name.clone(), Known { record, tag, heard: now, changed });
    }

    /// Takes a beat; returns whether the record that it belongs to is known.
    fn on_beat(&mut self, now: Timestamp, tag: u32, heartbeat: u64) -> bool {
        let Some(known) = self.tags.get(&tag).and_then(|name| self.known.get_mut(name)) else {
            return false;
        };
        if heartbeat > known.record.heartbeat {
            known.record.heartbeat = heartbeat;
            known.heard = now;
        }
        true
    }

    fn live_targets(&self, now: Timestamp) -> Vec<SocketAddr> {
        let mut live: Vec<&PeerRecord> = self.live(now).collect();
        let round = self.round.to_string();
        let order = |record: &&PeerRecord| {
            rendezvous::score(&round, &format!("{}>{}", self.me.name, record.name))
        };
        live.sort_by_cached_key(order);
        live.iter().take(FANOUT).map(|record| record.addr).collect()
    }

    /// A seed or silent instance that isn't known to be live, in turn.
    fn silent_target(&self, now: Timestamp) -> Option<SocketAddr> {
        let live: Vec<SocketAddr> = self.live(now).map(|record| record.addr).collect();
        let silent = self.known.values().map(|known| known.record.addr);
        let mut all: Vec<SocketAddr> = self.seeds.iter().copied().chain(silent).collect();
        all.retain(|addr| *addr != self.me.addr && !live.contains(addr));
        all.dedup();
        if all.is_empty() { None } else { Some(all[self.round as usize % all.len()]) }
    }
}

fn is_live(now: Timestamp, known: &Known) -> bool {
    now.since(known.heard) < SILENT_AFTER
}

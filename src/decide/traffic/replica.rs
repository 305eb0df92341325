//! What one instance believes of one replica.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use super::AdapterKey;
use super::HeldModel;
use super::PrefixTracker;
use super::ReplicaEntry;
use super::ReplicaState;
use super::Workload;
use super::is_hot;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// Time for which the word of the instance that gives the orders counts.
const OWNER_NEWS_TIME: Duration = Duration::from_secs(4);
/// Time for which the word counts that a replica holds an adapter.
const HELD_TIME: Duration = Duration::from_millis(1500);
/// The same, if other replicas should be considered soon.
const CROWDED_TIME: Duration = Duration::from_millis(50);
/// Time for which a replica's word counts that it doesn't hold something.
const MISSING_TIME: Duration = Duration::from_millis(1500);
/// Time for which another instance's work counts without news of it.
const PEER_LOAD_TIME: Duration = Duration::from_secs(2);
/// Time without a byte, while work is unanswered, after which a replica counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(900);
/// Time without a byte, while answers are under way, after which a replica counts as mute.
const MUTE_AFTER: Duration = Duration::from_secs(2);
/// Time on top of it for each unread token of a prompt.
const SILENT_PER_TOKEN: Duration = Duration::from_micros(60);
/// Time for which a replica that refused a connection gets no work.
const DOWN_TIME: Duration = Duration::from_millis(400);
/// Time for which a replica keeps a copy of what it held.
const HAD_TIME: Duration = Duration::from_secs(60);
/// Half-life of the memory of failures.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Something that a replica holds, by the last word of it.
#[derive(Clone, Copy, Debug)]
struct Held {
    version: u64,
    at: Timestamp,
    counts_for: Duration,
}

/// Work that another instance has at a replica.
#[derive(Clone, Debug)]
struct PeerWork {
    load: Workload,
    in_use: Vec<(AdapterKey, u32)>,
    at: Timestamp,
}

/// What one instance believes of one replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// What it published last.
    pub entry: ReplicaEntry,
    /// What it has read lately.
    pub prefixes: PrefixTracker,
    /// Work that this instance has there.
    pub own: Workload,
    /// When its entry lapsed while the published state was out of reach.
    pub lapsed: Option<Timestamp>,
    held: HashMap<AdapterKey, Held>,
    owner_news: Option<Timestamp>,
    missing: HashMap<AdapterKey, Timestamp>,
    had: HashMap<AdapterKey, Timestamp>,
    others: BTreeMap<InstanceName, PeerWork>,
    down_until: Timestamp,
    failures: (f64, Timestamp),
    last_heard: Timestamp,
    unanswered: u32,
    unanswered_since: Timestamp,
    in_use: HashMap<AdapterKey, u32>,
    gone: bool,
}

impl Replica {
    /// A replica that was just published.
    pub fn new(now: Timestamp, entry: ReplicaEntry) -> Self {
        let held = held_of(now, &entry.models);
        Self {
            entry,
            prefixes: PrefixTracker::default(),
            own: Workload::default(),
            lapsed: None,
            held,
            owner_news: None,
            missing: HashMap::new(),
            had: HashMap::new(),
            others: BTreeMap::new(),
            down_until: now,
            failures: (0.0, now),
            last_heard: now,
            unanswered: 0,
            unanswered_since: now,
            in_use: HashMap::new(),
            gone: false,
        }
    }

    /// Takes a newer entry of the same start.
    pub fn update(&mut self, now: Timestamp, entry: ReplicaEntry) {
        let owner_news_counts = self.owner_news.is_some_and(|at| now.since(at) < OWNER_NEWS_TIME);
        if !owner_news_counts {
            self.set_held(now, held_of(now, &entry.models));
        }
        self.lapsed = None;
        let was_draining = self.entry.state == ReplicaState::Draining;
        self.entry = entry;
        if was_draining {
            self.entry.state = ReplicaState::Draining;
        }
    }

    /// Takes the word of the instance that gives this replica its orders.
    pub fn on_owner_update(&mut self, now: Timestamp, models: &[HeldModel]) {
        self.set_held(now, held_of(now, models));
        self.owner_news = Some(now);
    }

    /// Notes that the replica holds something now.
    pub fn on_loaded(&mut self, now: Timestamp, key: AdapterKey, version: u64) {
        self.on_held(now, key, Held { version, at: now, counts_for: HELD_TIME });
    }

    /// Notes that the replica holds something, but has so much work with it that the next
    /// request should ask again.
    pub fn on_loaded_but_hot(&mut self, now: Timestamp, key: AdapterKey, version: u64) {
        self.on_held(now, key, Held { version, at: now, counts_for: CROWDED_TIME });
    }

    fn on_held(&mut self, now: Timestamp, key: AdapterKey, held: Held) {
        self.missing.remove(&key);
        self.had.insert(key.clone(), now);
        self.held.insert(key, held);
    }

    /// Notes that the replica is about to drop something.
    pub fn on_unloaded(&mut self, key: &AdapterKey) {
        self.held.remove(key);
        self.prefixes.forget(key);
    }

    /// Notes that the replica said it doesn't hold something.
    pub fn on_missing(&mut self, now: Timestamp, key: &AdapterKey) {
        self.missing.insert(key.clone(), now);
        self.prefixes.forget(key);
    }

    fn set_held(&mut self, now: Timestamp, held: HashMap<AdapterKey, Held>) {
        for key in held.keys() {
            self.had.insert(key.clone(), now);
        }
        self.had.retain(|_, at| now.since(*at) < HAD_TIME);
        self.held = held;
    }

    /// Version of something that the replica holds.
    ///
    /// Adapters come and go, so the word of one counts for a while only, unless requests of
    /// this instance keep it there.
    pub fn holds(&self, now: Timestamp, key: &AdapterKey) -> Option<u64> {
        let missing = self.missing.get(key).is_some_and(|at| now.since(*at) < MISSING_TIME);
        let held = self.held.get(key).filter(|_| !missing)?;
        let is_kept = held.counts_for == HELD_TIME && self.in_use.contains_key(key);
        let counts = key.adapter.is_none() || is_kept || now.since(held.at) < held.counts_for;
        counts.then_some(held.version)
    }

    /// Whether the replica may get new work.
    pub fn takes_work(&self, now: Timestamp) -> bool {
        let ready = self.entry.state == ReplicaState::Ready && !self.gone;
        ready && now >= self.down_until && !self.is_unresponsive(now)
    }

    /// Whether the replica may get orders.
    pub fn takes_orders(&self) -> bool {
        self.entry.state == ReplicaState::Ready && !self.gone
    }

    /// Notes that another replica has the address now.
    pub fn on_address_reused(&mut self) {
        self.gone = true;
    }

    /// Notes the work that another instance has here.
    pub fn on_peer_workload(
        &mut self,
        now: Timestamp,
        peer: &InstanceName,
        load: Workload,
        in_use: Vec<(AdapterKey, u32)>,
    ) {
        self.others.insert(peer.clone(), PeerWork { load, in_use, at: now });
    }

    /// Requests of all instances that use something, as far as is known.
    pub fn uses_of(&self, now: Timestamp, key: &AdapterKey) -> u32 {
        let own = self.in_use.get(key).copied().unwrap_or_default();
        let fresh = self.others.values().filter(|work| now.since(work.at) < PEER_LOAD_TIME);
        let others = fresh.flat_map(|work| &work.in_use).filter(|(used, _)| used == key);
        own + others.map(|(_, count)| count).sum::<u32>()
    }

    /// Whether an adapter has so large a part of the replica's work that another should hold it.
    pub fn is_crowded(&self, now: Timestamp, key: &AdapterKey) -> bool {
        is_hot(self.uses_of(now, key), self.workload(now).requests)
    }

    /// Whether the replica held something lately, so that it loads it fast.
    pub fn had(&self, now: Timestamp, key: &AdapterKey) -> bool {
        self.had.get(key).is_some_and(|at| now.since(*at) < HAD_TIME)
    }

    /// Work of all instances, as far as is known.
    pub fn workload(&self, now: Timestamp) -> Workload {
        let mut total = self.own;
        for work in self.others.values() {
            if now.since(work.at) < PEER_LOAD_TIME {
                total.add(work.load);
            }
        }
        total
    }

    /// Notes that a request was sent; returns how many use `key` now.
    pub fn on_sent(&mut self, now: Timestamp, load: Workload, key: Option<&AdapterKey>) -> u32 {
        self.own.add(load);
        if self.unanswered == 0 {
            self.unanswered_since = now;
        }
        self.unanswered += 1;
        key.map_or(0, |key| self.begin_use(key))
    }

    /// Notes that a request uses something or is about to; returns how many do now.
    pub fn begin_use(&mut self, key: &AdapterKey) -> u32 {
        let count = self.in_use.entry(key.clone()).or_default();
        *count += 1;
        *count
    }

    /// Notes that a use is over; returns how many are left.
    pub fn end_use(&mut self, key: &AdapterKey) -> u32 {
        let Some(count) = self.in_use.get_mut(key) else { return 0 };
        *count -= 1;
        let left = *count;
        if left == 0 {
            self.in_use.remove(key);
        }
        left
    }

    /// Notes that a request is over, with the work that is still counted for it; returns how
    /// many use `key` now.
    pub fn on_request_ended(&mut self, load: Workload, key: Option<&AdapterKey>) -> u32 {
        self.own.remove(load);
        key.map_or(0, |key| self.end_use(key))
    }

    /// Requests of this instance in progress, by what they use.
    pub fn in_use(&self) -> &HashMap<AdapterKey, u32> {
        &self.in_use
    }

    /// Notes that a request's answer began.
    pub fn on_answered(&mut self, now: Timestamp) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.on_bytes_received(now);
    }

    /// Notes that bytes came from the replica.
    pub fn on_bytes_received(&mut self, now: Timestamp) {
        self.last_heard = now;
    }

    /// Notes that a request ended without an answer's beginning.
    pub fn on_unanswered_end(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Notes that no connection could be made.
    pub fn on_unreachable(&mut self, now: Timestamp) {
        self.down_until = now + DOWN_TIME;
        self.on_failure(now, 1.0);
    }

    /// Notes a failure; `weight` 1 is a broken connection.
    pub fn on_failure(&mut self, now: Timestamp, weight: f64) {
        self.failures = (self.failure_score(now) + weight, now);
    }

    /// Failures of late, decayed.
    pub fn failure_score(&self, now: Timestamp) -> f64 {
        let (score, at) = self.failures;
        let half_lives = now.since(at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        score * (-half_lives).exp2()
    }

    /// Whether the replica has work of this instance and has sent nothing for long.
    pub fn has_stopped_sending(&self, now: Timestamp) -> bool {
        self.own.requests > 0 && now.since(self.last_heard) >= MUTE_AFTER
    }

    /// Whether the replica leaves work unanswered and sends nothing.
    pub fn is_unresponsive(&self, now: Timestamp) -> bool {
        if self.unanswered == 0 {
            return false;
        }
        let since = self.last_heard.max(self.unanswered_since);
        let unread = u32::try_from(self.workload(now).unread_tokens).unwrap_or(u32::MAX);
        now.since(since) >= SILENT_AFTER + SILENT_PER_TOKEN * unread
    }
}

fn held_of(now: Timestamp, models: &[HeldModel]) -> HashMap<AdapterKey, Held> {
    let mut held = HashMap::new();
    for model in models {
        let of = |version| Held { version, at: now, counts_for: HELD_TIME };
        held.insert(AdapterKey::base(model.name.clone()), of(model.version));
        for (adapter, version) in &model.adapters {
            let key = AdapterKey::adapter(model.name.clone(), adapter.clone());
            held.insert(key, of(*version));
        }
    }
    held
}

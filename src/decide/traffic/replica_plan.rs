//! Adapter cache policy for one replica, run by its owner: which adapters to load and unload.
//!
//! Adapters are loaded in the order in which requests ask for them. To free a slot the plan
//! evicts the adapter with the lowest decayed count of uses among those that aren't in use
//! (least frequently used with aging), and it never orders more adapters than the replica has
//! slots.

use std::collections::HashMap;
use std::time::Duration;

use super::AdapterKey;
use super::AdapterUses;
use super::DeclaredVersions;
use super::EngineSpec;
use super::HeldAdapter;
use super::HeldModel;
use super::LoadInProgress;
use super::LoadRequests;
use super::Order;
use super::PlanHandover;
use super::Presence;
use super::UseUpdate;
use super::WarmCopies;
use super::should_spread;
use crate::names::InstanceName;
use crate::names::ModelName;
use crate::names::Timestamp;

/// Most loads in progress at one replica.
const MAX_LOADS: usize = 4;
/// Time after a handover until the uses of all instances are known; nothing is evicted before.
const USES_LEARNING_TIME: Duration = Duration::from_millis(900);
/// Most loads from the weight store in progress at one replica.
const MAX_COLD_LOADS: usize = 4;
/// Longest time by which a report may be older than an order.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Time after which a base model that no report shows is ordered again.
const MODEL_LOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an adapter is kept after its last use.
const KEEP_AFTER_USE: Duration = Duration::from_millis(200);

/// What one replica holds, loads and unloads, and what requests ask of it.
#[derive(Clone, Debug, Default)]
pub struct ReplicaPlan {
    held: HashMap<AdapterKey, HeldAdapter>,
    loading: HashMap<AdapterKey, LoadInProgress>,
    unloading: HashMap<AdapterKey, Timestamp>,
    last_ordered: HashMap<AdapterKey, Timestamp>,
    recently_unloaded: HashMap<AdapterKey, Timestamp>,
    load_requests: LoadRequests,
    uses: AdapterUses,
    /// Until when the uses of other instances aren't known after a handover.
    uses_unknown_until: Timestamp,
    /// Copies that the replica keeps of adapters that it held.
    warm_copies: WarmCopies,
    model_ordered_at: Option<Timestamp>,
}

impl ReplicaPlan {
    /// What the next owner needs to know, since reports lag behind.
    pub fn handover(&self) -> PlanHandover {
        PlanHandover {
            held: self.held.iter().map(|(key, held)| (key.clone(), held.version)).collect(),
            loading: self.loading.keys().cloned().collect(),
            unloaded: self.recently_unloaded.keys().cloned().collect(),
            warm_copies: self.warm_copies.all(),
        }
    }

    /// Takes the plan over from the previous owner; reports that are older than its last orders
    /// don't undo it.
    pub fn on_handover(&mut self, now: Timestamp, handover: PlanHandover) {
        for (key, version) in handover.held {
            self.last_ordered.insert(key.clone(), now);
            self.held.insert(key, HeldAdapter::new(now, version));
        }
        for key in handover.loading {
            self.last_ordered.insert(key.clone(), now);
            self.loading.insert(key, LoadInProgress::new(now, None, false));
        }
        self.recently_unloaded = handover.unloaded.into_iter().map(|key| (key, now)).collect();
        self.warm_copies = WarmCopies::of(handover.warm_copies);
        self.uses_unknown_until = now + USES_LEARNING_TIME;
    }

    /// Records that a report shows the load of a base model in progress, so that it isn't ordered again.
    pub fn on_model_loading(&mut self, now: Timestamp) {
        self.model_ordered_at = Some(now);
    }

    /// Applies a report of what the replica holds and loads.
    pub fn on_report(&mut self, now: Timestamp, models: &[HeldModel], loading: &[AdapterKey]) {
        let mut shown: HashMap<AdapterKey, u64> = HashMap::new();
        for model in models {
            shown.insert(AdapterKey::base(model.name.clone()), model.version);
            for (adapter, version) in &model.adapters {
                let key = AdapterKey::adapter(model.name.clone(), adapter.clone());
                shown.insert(key, *version);
            }
        }
        self.last_ordered.retain(|_, at| now.since(*at) < REPORT_LAG);
        self.recently_unloaded.retain(|_, at| now.since(*at) < REPORT_LAG);
        self.apply_shown(now, &shown);
        for key in loading {
            if !self.last_ordered.contains_key(key) {
                let loading = || LoadInProgress::new(now, None, false);
                self.loading.entry(key.clone()).or_insert_with(loading);
            }
        }
        let last_ordered = &self.last_ordered;
        let still = |key: &AdapterKey| loading.contains(key) || last_ordered.contains_key(key);
        self.loading.retain(|key, c| still(key) && !c.is_overdue(now));
        self.held.retain(|key, _| shown.contains_key(key) || last_ordered.contains_key(key));
        self.unloading.retain(|key, _| shown.contains_key(key) || last_ordered.contains_key(key));
        let held = &self.held;
        self.load_requests.retain(|key| !held.contains_key(key));
    }

    /// Forgets everything but the load requests, after a restart of the replica.
    pub fn clear(&mut self) {
        *self = Self { load_requests: std::mem::take(&mut self.load_requests), ..Self::default() };
    }

    /// Records that requests wait for an adapter, unless it is held or being loaded.
    pub fn request_load(&mut self, now: Timestamp, key: &AdapterKey) {
        let held = self.held.contains_key(key) && !self.unloading.contains_key(key);
        if held || self.loading.contains_key(key) {
            return;
        }
        self.load_requests.on_request(now, key);
    }

    /// Records how many requests of an instance use an adapter now; an older update changes
    /// nothing.
    pub fn on_use(&mut self, now: Timestamp, key: &AdapterKey, update: &UseUpdate) {
        let Some(begun) = self.uses.on_update(now, key, update) else { return };
        if let Some(held) = self.held.get_mut(key) {
            held.uses_at_last_use = held.recent_uses(now) + f64::from(begun);
            held.last_used = now;
        }
    }

    /// Records all that an instance used when it had sent the update `serial`.
    pub fn on_all_uses(
        &mut self,
        now: Timestamp,
        user: &InstanceName,
        serial: u64,
        uses: &[(AdapterKey, u32)],
    ) {
        let update = |count| UseUpdate { user: user.clone(), count, serial };
        let no_longer_used = self.uses.no_longer_used(user, uses);
        for key in no_longer_used {
            self.on_use(now, &key, &update(0));
        }
        for (key, count) in uses {
            self.on_use(now, key, &update(*count));
        }
    }

    /// Drops the uses of instances for which `is_there` is false.
    pub fn retain_users(&mut self, is_there: impl Fn(&InstanceName) -> bool) {
        self.uses.retain_users(is_there);
    }

    /// Requests of all instances at the replica, as far as is known.
    pub fn requests(&self, now: Timestamp) -> u32 {
        self.uses.total(now)
    }

    /// Whether the replica is so busy, also with this adapter, that another one should hold it too;
    /// replicas typically have `typical` requests.
    pub fn needs_another_replica(&self, now: Timestamp, key: &AdapterKey, typical: f64) -> bool {
        let (uses, requests) = (self.uses.count(now, key), self.uses.total(now));
        should_spread(uses, requests, typical)
    }

    /// Version of an adapter that is held and not being unloaded, or whose load counts as done
    /// already; 0 if the version isn't known.
    pub fn held_version(&self, now: Timestamp, key: &AdapterKey) -> Option<u64> {
        if self.unloading.contains_key(key) {
            return None;
        }
        let held = self.held.get(key).map(|held| held.version);
        held.or_else(|| {
            let loading = self.loading.get(key).filter(|loading| loading.is_presumed_done(now))?;
            Some(loading.version.unwrap_or(0))
        })
    }

    /// Whether the replica holds an adapter, loads it, or has a copy of its newest version.
    pub fn presence(&self, now: Timestamp, key: &AdapterKey, newest: Option<u64>) -> Presence {
        if let Some(version) = self.held_version(now, key) {
            return Presence::Held(version);
        }
        if self.is_loading(key) || self.load_requests.contains(key) {
            Presence::Loading
        } else if self.warm_copies.has(key, newest) {
            Presence::Copy
        } else {
            Presence::Absent
        }
    }

    /// Number of adapters that requests wait for and that aren't being loaded yet.
    pub fn waiting_loads(&self) -> usize {
        self.load_requests.count()
    }

    /// Whether an adapter is being loaded.
    pub fn is_loading(&self, key: &AdapterKey) -> bool {
        self.loading.contains_key(key)
    }

    /// Time until the load of an adapter counts as done; `None` if that isn't known or it isn't
    /// being loaded.
    pub fn presumed_done_in(&self, now: Timestamp, key: &AdapterKey) -> Option<Duration> {
        self.loading.get(key)?.presumed_done_in(now)
    }

    /// Whether an order repeats a load in progress, which the replica doesn't count again.
    pub fn is_repeated_load(&self, order: &Order) -> bool {
        matches!(order, Order::Load { key, .. } if self.loading.contains_key(key))
    }

    /// Whether the load requests already need every slot that is free or can be freed now.
    pub fn is_full(&self, now: Timestamp, engine: &EngineSpec) -> bool {
        let waiting = self.load_requests.count();
        let free = engine.adapter_slots.saturating_sub(self.slots_taken());
        waiting >= free + self.eviction_candidates(now).count()
    }

    /// Withdraws the request for an adapter whose load hasn't been ordered.
    pub fn cancel_load_request(&mut self, key: &AdapterKey) {
        self.load_requests.remove(key);
    }

    /// Whether orders are in progress whose end only a report shows; other loads are polled.
    pub fn awaits_report(&self) -> bool {
        let replaces_version = || self.loading.keys().any(|key| self.held.contains_key(key));
        !self.unloading.is_empty() || self.model_ordered_at.is_some() || replaces_version()
    }

    /// What the replica holds, without adapters that are being unloaded; for the other instances.
    pub fn held_models(&self) -> Vec<HeldModel> {
        let mut models: HashMap<&ModelName, HeldModel> = HashMap::new();
        for (key, held) in &self.held {
            if self.unloading.contains_key(key) {
                continue;
            }
            let model = models.entry(&key.model).or_insert_with(|| HeldModel {
                name: key.model.clone(),
                version: 0,
                adapters: Vec::new(),
            });
            match &key.adapter {
                Some(adapter) => model.adapters.push((adapter.clone(), held.version)),
                None => model.version = held.version,
            }
        }
        models.into_values().collect()
    }

    /// The next order to give; `None` if none is due.
    ///
    /// A base model goes first, then newer versions of held adapters, then polls of loads in
    /// progress, then requested adapters, for which another may have to be unloaded.
    pub fn next_order(
        &mut self,
        now: Timestamp,
        engine: &EngineSpec,
        versions: &DeclaredVersions,
    ) -> Option<Order> {
        self.load_requests.drop_expired(now);
        if !self.unloading.is_empty() {
            // The replica refuses orders until the requests that an unload waits for have ended.
            return None;
        }
        if let Some(order) = self.next_model_load(now, engine) {
            return order;
        }
        if let Some(order) = self.next_version_load(versions) {
            return Some(order);
        }
        if let Some(order) = self.next_poll(now) {
            return Some(order);
        }
        if self.loading.len() >= MAX_LOADS {
            return None;
        }
        let cold_loads = self.loading.values().filter(|loading| !loading.is_warm).count();
        let may_load = |key: &AdapterKey| {
            self.has_model(key)
                && (cold_loads < MAX_COLD_LOADS || self.warm_copies.has(key, versions.newest(key)))
        };
        let key = self.load_requests.iter().find(|key| may_load(key))?.clone();
        let taken = self.slots_taken();
        if taken < engine.adapter_slots {
            return Some(Order::Load { version: versions.newest(&key), key });
        }
        if now < self.uses_unknown_until {
            return None;
        }
        self.eviction_victim(now).map(|key| Order::Unload { key })
    }

    /// Records that the replica accepted an order; `done` is whether it is carried out already.
    pub fn on_accepted(&mut self, now: Timestamp, order: &Order, done: bool) {
        let key = order.key().clone();
        self.last_ordered.insert(key.clone(), now);
        match order {
            Order::Load { .. } if key.adapter.is_none() => self.model_ordered_at = Some(now),
            Order::Load { version, .. } if done => self.on_load_done(now, key, *version),
            Order::Load { version, .. } => self.on_load_started(now, key, *version),
            Order::Unload { .. } if done => {
                self.recently_unloaded.insert(key.clone(), now);
                self.held.remove(&key);
                self.unloading.remove(&key);
            }
            Order::Unload { .. } => {
                self.unloading.insert(key, now);
            }
        }
    }

    fn apply_shown(&mut self, now: Timestamp, shown: &HashMap<AdapterKey, u64>) {
        for (key, version) in shown {
            if self.recently_unloaded.contains_key(key) {
                // The report may be older than the unload, even if a load has followed that.
                continue;
            }
            if key.adapter.is_none() {
                self.model_ordered_at = None;
            } else {
                self.warm_copies.on_held(key, *version);
            }
            match self.held.get_mut(key) {
                Some(held) => held.version = *version,
                None => {
                    let held = HeldAdapter::new(now, *version);
                    self.held.insert(key.clone(), held);
                }
            }
            if self.loading.get(key).is_some_and(|c| *version >= c.version.unwrap_or(0)) {
                self.loading.remove(key);
            }
        }
    }

    fn on_load_started(&mut self, now: Timestamp, key: AdapterKey, version: Option<u64>) {
        if let Some(loading) = self.loading.get_mut(&key) {
            loading.on_polled(now);
            return;
        }
        self.load_requests.remove(&key);
        let copied = self.warm_copies.version(&key);
        let is_warm = self.warm_copies.has(&key, version);
        self.loading.insert(key, LoadInProgress::new(now, version.or(copied), is_warm));
    }

    fn on_load_done(&mut self, now: Timestamp, key: AdapterKey, version: Option<u64>) {
        self.load_requests.remove(&key);
        let loading = self.loading.remove(&key).and_then(|loading| loading.version);
        let version = version.or(loading);
        let held = HeldAdapter::new(now, version.unwrap_or(0));
        let held = self.held.entry(key).or_insert(held);
        held.version = version.unwrap_or(held.version);
    }

    /// A load in progress that may be done by now, to be ordered again as a poll. A load that
    /// replaces a held version isn't polled: it waits for the requests that use that version.
    fn next_poll(&self, now: Timestamp) -> Option<Order> {
        let mut new = self.loading.iter().filter(|(key, _)| !self.held.contains_key(*key));
        let (key, loading) = new.find(|(_, loading)| loading.should_poll(now))?;
        Some(Order::Load { key: key.clone(), version: loading.version })
    }

    /// `None` if the replica holds a base model, `Some(None)` while one is being loaded, and
    /// `Some(order)` if one has to be ordered.
    fn next_model_load(&mut self, now: Timestamp, engine: &EngineSpec) -> Option<Option<Order>> {
        let has_any = self.held.keys().any(|key| key.adapter.is_none());
        if has_any {
            return None;
        }
        if self.model_ordered_at.is_some_and(|at| now.since(at) < MODEL_LOAD_TIMEOUT) {
            return Some(None);
        }
        let requested = self.load_requests.iter().next().map(|key| key.model.clone());
        let model = requested.or_else(|| engine.models.first().map(|model| model.name.clone()))?;
        Some(Some(Order::Load { key: AdapterKey::base(model), version: None }))
    }

    /// The load of a newer declared version of a held adapter.
    fn next_version_load(&self, versions: &DeclaredVersions) -> Option<Order> {
        let is_old = |key: &AdapterKey, held: &HeldAdapter| {
            versions.newest(key).is_some_and(|newest| held.version < newest)
        };
        let idle = |key: &AdapterKey| {
            !self.loading.contains_key(key)
                && !self.unloading.contains_key(key)
                && !self.last_ordered.contains_key(key)
        };
        let (key, _) = self
            .held
            .iter()
            .find(|(key, held)| key.adapter.is_some() && is_old(key, held) && idle(key))?;
        Some(Order::Load { key: key.clone(), version: versions.newest(key) })
    }

    fn has_model(&self, key: &AdapterKey) -> bool {
        self.held.contains_key(&AdapterKey::base(key.model.clone()))
    }

    /// Adapter slots in use, including those of adapters that are being loaded.
    fn slots_taken(&self) -> usize {
        let held = self.held.keys().filter(|key| key.adapter.is_some()).count();
        let loading = self.loading.keys().filter(|key| !self.held.contains_key(*key)).count();
        held + loading
    }

    /// Held adapters that aren't in use, weren't used in the last moment, and aren't being loaded
    /// or unloaded.
    fn eviction_candidates(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&AdapterKey, &HeldAdapter)> {
        self.held.iter().filter(move |(key, held)| {
            key.adapter.is_some()
                && now.since(held.last_used) >= KEEP_AFTER_USE
                && !self.uses.is_in_use(now, key)
                && !self.loading.contains_key(*key)
                && !self.unloading.contains_key(*key)
        })
    }

    /// The eviction candidate with the lowest decayed count of uses.
    fn eviction_victim(&self, now: Timestamp) -> Option<AdapterKey> {
        let least = self.eviction_candidates(now).min_by(|a, b| {
            a.1.recent_uses(now).total_cmp(&b.1.recent_uses(now)).then_with(|| a.0.cmp(b.0))
        });
        least.map(|(key, _)| key.clone())
    }
}

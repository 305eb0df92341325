//! Which adapters one replica should hold: the plan of the instance that gives it orders.
//!
//! Requests ask for adapters; the plan makes room by unloading what is least used
//! and unused now, and never orders more than the replica has places for.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::AdapterKey;
use super::AdapterUses;
use super::Coming;
use super::DeclaredVersions;
use super::EngineSpec;
use super::HeldAdapter;
use super::HeldModel;
use super::KeptCopies;
use super::Order;
use super::PlanHandover;
use super::UseUpdate;
use super::is_on_busy_replica;
use crate::names::InstanceName;
use crate::names::ModelName;
use crate::names::Timestamp;

/// Adapters that may be on their way to one replica at the same time.
const MAX_COMING: usize = 4;
/// Time after a handover until the uses of all instances are known.
const LEARN_USES: Duration = Duration::from_millis(900);
/// Adapters that may be on their way from the weight store to one replica.
const MAX_FETCHED: usize = 4;
/// Time for which a report may be older than an order.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Time after which a base model that no report shows is ordered again.
const MODEL_LOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a wish is kept.
const WISH_TIME: Duration = Duration::from_secs(2);
/// Time for which an adapter is kept after its last use.
const KEEP_AFTER_USE: Duration = Duration::from_millis(200);

/// The plan for one replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaPlan {
    held: HashMap<AdapterKey, HeldAdapter>,
    coming: HashMap<AdapterKey, Coming>,
    leaving: HashMap<AdapterKey, Timestamp>,
    ordered: HashMap<AdapterKey, Timestamp>,
    unloaded: HashMap<AdapterKey, Timestamp>,
    wishes: VecDeque<(AdapterKey, Timestamp)>,
    uses: AdapterUses,
    /// Until when the uses of other instances aren't known yet.
    uses_unknown_until: Timestamp,
    /// Versions that the replica had before, the latest last.
    had: KeptCopies,
    model_ordered: Option<Timestamp>,
}

impl ReplicaPlan {
    /// What a successor needs to know, since reports lag.
    pub fn handover(&self) -> PlanHandover {
        PlanHandover {
            held: self.held.iter().map(|(key, held)| (key.clone(), held.version)).collect(),
            coming: self.coming.keys().cloned().collect(),
            unloaded: self.unloaded.keys().cloned().collect(),
            had: self.had.all(),
        }
    }

    /// Takes a predecessor's plan over; reports as old as its last order don't undo it.
    pub fn on_handover(&mut self, now: Timestamp, handover: PlanHandover) {
        for (key, version) in handover.held {
            self.ordered.insert(key.clone(), now);
            self.held.insert(key, HeldAdapter::new(now, version));
        }
        for key in handover.coming {
            self.ordered.insert(key.clone(), now);
            self.coming.insert(key, Coming::new(now, None, false));
        }
        self.unloaded = handover.unloaded.into_iter().map(|key| (key, now)).collect();
        self.had = KeptCopies::of(handover.had);
        self.uses_unknown_until = now + LEARN_USES;
    }

    /// Takes what a report shows.
    pub fn on_report(&mut self, now: Timestamp, models: &[HeldModel], coming: &[AdapterKey]) {
        let mut shown: HashMap<AdapterKey, u64> = HashMap::new();
        for model in models {
            shown.insert(AdapterKey::base(model.name.clone()), model.version);
            for (adapter, version) in &model.adapters {
                let key = AdapterKey::adapter(model.name.clone(), adapter.clone());
                shown.insert(key, *version);
            }
        }
        self.ordered.retain(|_, at| now.since(*at) < REPORT_LAG);
        self.unloaded.retain(|_, at| now.since(*at) < REPORT_LAG);
        self.take_shown(now, &shown);
        for key in coming {
            if !self.ordered.contains_key(key) {
                let coming = || Coming::new(now, None, false);
                self.coming.entry(key.clone()).or_insert_with(coming);
            }
        }
        let ordered = &self.ordered;
        let still = |key: &AdapterKey| coming.contains(key) || ordered.contains_key(key);
        self.coming.retain(|key, c| still(key) && !c.is_overdue(now));
        self.held.retain(|key, _| shown.contains_key(key) || ordered.contains_key(key));
        self.leaving.retain(|key, _| shown.contains_key(key) || ordered.contains_key(key));
        let held = &self.held;
        self.wishes.retain(|(key, _)| !held.contains_key(key));
    }

    /// Forgets everything, as after a restart of the replica.
    pub fn clear(&mut self) {
        *self = Self { wishes: std::mem::take(&mut self.wishes), ..Self::default() };
    }

    /// Notes that requests wait for an adapter.
    pub fn request_load(&mut self, now: Timestamp, key: &AdapterKey) {
        let held = self.held.contains_key(key) && !self.leaving.contains_key(key);
        if held || self.coming.contains_key(key) {
            return;
        }
        match self.wishes.iter_mut().find(|(wish, _)| wish == key) {
            Some((_, since)) => *since = now,
            None => self.wishes.push_back((key.clone(), now)),
        }
    }

    /// Notes how many requests of an instance use an adapter now; older news changes nothing.
    pub fn on_use(&mut self, now: Timestamp, key: &AdapterKey, news: &UseUpdate) {
        let Some(begun) = self.uses.on_news(now, key, news) else { return };
        if let Some(held) = self.held.get_mut(key) {
            held.uses = held.uses_now(now) + f64::from(begun);
            held.used = now;
        }
    }

    /// Notes all that an instance used when it had sent the news `serial`.
    pub fn on_all_uses(
        &mut self,
        now: Timestamp,
        user: &InstanceName,
        serial: u64,
        uses: &[(AdapterKey, u32)],
    ) {
        let news = |count| UseUpdate { user: user.clone(), count, serial };
        let ended = self.uses.ended(user, uses);
        for key in ended {
            self.on_use(now, &key, &news(0));
        }
        for (key, count) in uses {
            self.on_use(now, key, &news(*count));
        }
    }

    /// Drops the uses of instances that aren't there any more.
    pub fn retain_users(&mut self, is_there: impl Fn(&InstanceName) -> bool) {
        self.uses.retain_users(is_there);
    }

    /// Requests of all instances at the replica, as far as is known.
    pub fn requests(&self, now: Timestamp) -> u32 {
        self.uses.total(now)
    }

    /// Whether an adapter has so much of the replica's work that another should hold it too;
    /// replicas have `typical` requests.
    pub fn needs_another_replica(&self, now: Timestamp, key: &AdapterKey, typical: f64) -> bool {
        let (uses, requests) = (self.uses.count(now, key), self.uses.total(now));
        is_on_busy_replica(uses, requests, typical)
    }

    /// Version of an adapter that is held and stays, or that must have arrived by now.
    pub fn holds(&self, now: Timestamp, key: &AdapterKey) -> Option<u64> {
        if self.leaving.contains_key(key) {
            return None;
        }
        let held = self.held.get(key).map(|held| held.version);
        held.or_else(|| {
            let coming = self.coming.get(key).filter(|coming| coming.must_have_arrived(now))?;
            Some(coming.version.unwrap_or(0))
        })
    }

    /// Whether an adapter is on its way.
    pub fn is_loading(&self, key: &AdapterKey) -> bool {
        self.coming.contains_key(key)
    }

    /// Time until an adapter that is on its way must have arrived, if that is known.
    pub fn arrives_in(&self, now: Timestamp, key: &AdapterKey) -> Option<Duration> {
        self.coming.get(key)?.arrives_in(now)
    }

    /// Whether the replica has accepted an order before, so that it doesn't count it anew.
    pub fn is_repeated_load(&self, order: &Order) -> bool {
        matches!(order, Order::Load { key, .. } if self.coming.contains_key(key))
    }

    /// Whether every place is taken and none can be freed now.
    pub fn is_full(&self, now: Timestamp, engine: &EngineSpec) -> bool {
        let waiting = self.wishes.len();
        let free = engine.adapter_slots.saturating_sub(self.adapters_taken());
        waiting >= free + self.victims(now).count()
    }

    /// Takes back the wish for an adapter that isn't on its way.
    pub fn cancel_load_request(&mut self, key: &AdapterKey) {
        self.wishes.retain(|(wish, _)| wish != key);
    }

    /// Whether loads or unloads are under way.
    pub fn has_pending_orders(&self) -> bool {
        !self.coming.is_empty() || !self.leaving.is_empty() || self.model_ordered.is_some()
    }

    /// What the replica holds and keeps, to tell the other instances.
    pub fn held_models(&self) -> Vec<HeldModel> {
        let mut models: HashMap<&ModelName, HeldModel> = HashMap::new();
        for (key, held) in &self.held {
            if self.leaving.contains_key(key) {
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

    /// The next order, if one is due.
    pub fn next_order(
        &mut self,
        now: Timestamp,
        engine: &EngineSpec,
        versions: &DeclaredVersions,
    ) -> Option<Order> {
        self.wishes.retain(|(_, since)| now.since(*since) < WISH_TIME);
        if !self.leaving.is_empty() {
            // The replica refuses orders until the runs that an unload waits for have ended.
            return None;
        }
        if let Some(order) = self.missing_model(now, engine) {
            return order;
        }
        if let Some(order) = self.outdated(versions) {
            return Some(order);
        }
        if let Some(order) = self.load_again(now) {
            return Some(order);
        }
        if self.coming.len() >= MAX_COMING {
            return None;
        }
        let fetched = self.coming.values().filter(|coming| !coming.is_warm).count();
        let may_load = |key: &AdapterKey| {
            self.has_model(key)
                && (fetched < MAX_FETCHED || self.had.has(key, versions.newest(key)))
        };
        let (key, _) = self.wishes.iter().find(|(key, _)| may_load(key))?.clone();
        let taken = self.adapters_taken();
        if taken < engine.adapter_slots {
            return Some(Order::Load { version: versions.newest(&key), key });
        }
        if now < self.uses_unknown_until {
            return None;
        }
        self.victim(now).map(|key| Order::Unload { key })
    }

    /// Notes that the replica accepted an order; `done` says whether it is carried out already.
    pub fn on_accepted(&mut self, now: Timestamp, order: &Order, done: bool) {
        let key = order.key().clone();
        self.ordered.insert(key.clone(), now);
        match order {
            Order::Load { .. } if key.adapter.is_none() => self.model_ordered = Some(now),
            Order::Load { version, .. } if done => self.on_arrived(now, key, *version),
            Order::Load { version, .. } => self.on_coming(now, key, *version),
            Order::Unload { .. } if done => {
                self.unloaded.insert(key.clone(), now);
                self.held.remove(&key);
                self.leaving.remove(&key);
            }
            Order::Unload { .. } => {
                self.leaving.insert(key, now);
            }
        }
    }

    fn take_shown(&mut self, now: Timestamp, shown: &HashMap<AdapterKey, u64>) {
        for (key, version) in shown {
            if self.unloaded.contains_key(key) {
                // The report may be older than the unload, also if a load followed it.
                continue;
            }
            if key.adapter.is_none() {
                self.model_ordered = None;
            } else {
                self.had.on_held(key, *version);
            }
            match self.held.get_mut(key) {
                Some(held) => held.version = *version,
                None => {
                    let held = HeldAdapter::new(now, *version);
                    self.held.insert(key.clone(), held);
                }
            }
            if self.coming.get(key).is_some_and(|c| *version >= c.version.unwrap_or(0)) {
                self.coming.remove(key);
            }
        }
    }

    fn on_coming(&mut self, now: Timestamp, key: AdapterKey, version: Option<u64>) {
        if let Some(coming) = self.coming.get_mut(&key) {
            coming.on_asked(now);
            return;
        }
        self.wishes.retain(|(wish, _)| wish != &key);
        let had = self.had.version(&key);
        let is_warm = self.had.has(&key, version);
        self.coming.insert(key, Coming::new(now, version.or(had), is_warm));
    }

    fn on_arrived(&mut self, now: Timestamp, key: AdapterKey, version: Option<u64>) {
        self.wishes.retain(|(wish, _)| wish != &key);
        let coming = self.coming.remove(&key).and_then(|coming| coming.version);
        let version = version.or(coming);
        let held = HeldAdapter::new(now, version.unwrap_or(0));
        let held = self.held.entry(key).or_insert(held);
        held.version = version.unwrap_or(held.version);
    }

    /// A load that is under way and may be done by now; a replacement waits for its runs.
    fn load_again(&self, now: Timestamp) -> Option<Order> {
        let mut new = self.coming.iter().filter(|(key, _)| !self.held.contains_key(*key));
        let (key, coming) = new.find(|(_, coming)| coming.asks(now))?;
        Some(Order::Load { key: key.clone(), version: coming.version })
    }

    /// `Some(None)` while a model is on its way, `Some(order)` if one has to be ordered.
    fn missing_model(&mut self, now: Timestamp, engine: &EngineSpec) -> Option<Option<Order>> {
        let has_any = self.held.keys().any(|key| key.adapter.is_none());
        if has_any {
            return None;
        }
        if self.model_ordered.is_some_and(|at| now.since(at) < MODEL_LOAD_TIMEOUT) {
            return Some(None);
        }
        let wished = self.wishes.front().map(|(key, _)| key.model.clone());
        let model = wished.or_else(|| engine.models.first().map(|model| model.name.clone()))?;
        Some(Some(Order::Load { key: AdapterKey::base(model), version: None }))
    }

    /// A held adapter of which a newer version was declared.
    fn outdated(&self, versions: &DeclaredVersions) -> Option<Order> {
        let is_old = |key: &AdapterKey, held: &HeldAdapter| {
            versions.newest(key).is_some_and(|newest| held.version < newest)
        };
        let idle = |key: &AdapterKey| {
            !self.coming.contains_key(key)
                && !self.leaving.contains_key(key)
                && !self.ordered.contains_key(key)
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

    /// Places in use, those of adapters on their way included.
    fn adapters_taken(&self) -> usize {
        let held = self.held.keys().filter(|key| key.adapter.is_some()).count();
        let coming = self.coming.keys().filter(|key| !self.held.contains_key(*key)).count();
        held + coming
    }

    /// Adapters that nobody waits for and that aren't used now.
    fn victims(&self, now: Timestamp) -> impl Iterator<Item = (&AdapterKey, &HeldAdapter)> {
        self.held.iter().filter(move |(key, held)| {
            key.adapter.is_some()
                && now.since(held.used) >= KEEP_AFTER_USE
                && !self.uses.is_in_use(now, key)
                && !self.coming.contains_key(*key)
                && !self.leaving.contains_key(*key)
        })
    }

    /// The least used adapter that can make room.
    fn victim(&self, now: Timestamp) -> Option<AdapterKey> {
        let least = self.victims(now).min_by(|a, b| {
            a.1.uses_now(now).total_cmp(&b.1.uses_now(now)).then_with(|| a.0.cmp(b.0))
        });
        least.map(|(key, _)| key.clone())
    }
}

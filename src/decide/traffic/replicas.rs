//! The replicas that one instance knows of, and which of them takes a request.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::AdapterKey;
use super::DeclaredVersions;
use super::EngineSpec;
use super::PromptPart;
use super::Replica;
use super::ReplicaEntry;
use super::Workload;
use crate::decide::rendezvous;
use crate::names::BackendName;
use crate::names::ServiceName;
use crate::names::Timestamp;

/// Time for which an entry that lapsed during an outage is kept after it.
const LAPSE_GRACE: Duration = Duration::from_millis(1900);
/// Prompt tokens that an engine reads in a millisecond.
const READ_TOKENS_PER_MS: f64 = 38.7;
/// Delay that each request in progress adds for a new one, in ms.
const REQUEST_MS: f64 = 1.5;
/// Share of an engine's memory from which on preemption is expected.
const FULL_MEMORY: f64 = 0.85;
/// Delay that a full memory stands for, in ms.
const FULL_MEMORY_MS: f64 = 1500.0;
/// Delay that one recent failure stands for, in ms.
const FAILURE_MS: f64 = 60.0;
/// Delay expected of a request that waits for a slot of a plain service, in ms.
const SLOT_WAIT_MS: f64 = 40.0;
/// Delay from which on another replica should hold the adapter too, in ms.
const SPREAD_FROM_MS: f64 = 250.0;
/// Age of a declared version from which on older ones are not used.
const OLD_VERSION_TIME: Duration = Duration::from_millis(2500);

/// What a request wants of a replica.
#[derive(Clone, Debug)]
pub struct RequestNeeds {
    /// Adapter or base model, if the service has models.
    pub key: Option<AdapterKey>,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
}

impl RequestNeeds {
    /// A number that requests have in common whose prompts begin alike; `None` if no part of
    /// the prompt is shared. The last part is the request's own.
    pub fn shared_prefix(&self) -> Option<u64> {
        let (_, shared) = self.parts.split_last()?;
        let ids: Vec<u8> = shared.iter().flat_map(|part| part.id.to_le_bytes()).collect();
        (!shared.is_empty()).then(|| xxh3_64(&ids))
    }

    /// The work that this request is at a replica that has read `known` tokens of it.
    pub fn workload(&self, known: u64) -> Workload {
        Workload {
            requests: 1,
            unread_tokens: self.prompt_tokens.saturating_sub(known),
            held_tokens: self.prompt_tokens.saturating_sub(known) + self.output_tokens,
        }
    }
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// A replica that holds what is wanted; `spread` should hold it too.
    Send {
        /// The replica.
        replica: BackendName,
        /// Another replica that should load it, if the holders are busy.
        spread: Option<BackendName>,
    },
    /// None holds it; these could load it, best first.
    Load(Vec<BackendName>),
    /// No replica of the service takes work.
    NoReplica,
}

/// The replicas that one instance knows of.
#[derive(Clone, Debug, Default)]
pub struct Replicas {
    known: BTreeMap<BackendName, Replica>,
}

impl Replicas {
    /// Whether other instances need to know an entry; who holds which adapter they ask.
    pub fn is_worth_sharing(&self, entry: &ReplicaEntry) -> bool {
        self.known.get(&entry.name).is_none_or(|known| !known.entry.is_alike(entry))
    }

    /// Takes an entry; returns whether the replica has started anew since the last one.
    pub fn on_entry(&mut self, now: Timestamp, entry: ReplicaEntry) -> bool {
        match self.known.get_mut(&entry.name) {
            Some(known) if entry.started_ms < known.entry.started_ms => false,
            Some(known) if entry.started_ms == known.entry.started_ms => {
                known.update(now, entry);
                false
            }
            _ => {
                self.known.insert(entry.name.clone(), Replica::new(now, entry));
                true
            }
        }
    }

    /// Takes the removal of an entry; one that may have lapsed in an outage stays a little.
    pub fn on_removed(&mut self, now: Timestamp, name: &BackendName, after_outage: bool) {
        if !after_outage {
            self.known.remove(name);
        } else if let Some(replica) = self.known.get_mut(name) {
            replica.lapsed.get_or_insert(now);
        }
    }

    /// Drops the replicas whose entries haven't come back.
    pub fn drop_expired(&mut self, now: Timestamp) {
        self.known.retain(|_, replica| {
            replica.lapsed.is_none_or(|lapsed| now.since(lapsed) < LAPSE_GRACE)
        });
    }

    /// One replica by name.
    pub fn get(&self, name: &BackendName) -> Option<&Replica> {
        self.known.get(name)
    }

    /// One replica by name, to note something.
    pub fn get_mut(&mut self, name: &BackendName) -> Option<&mut Replica> {
        self.known.get_mut(name)
    }

    /// Every replica.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.known.values()
    }

    /// Chooses the replica for a request.
    pub fn choose(
        &self,
        now: Timestamp,
        service: &ServiceName,
        engine: Option<&EngineSpec>,
        wanted: &RequestNeeds,
        tried: &[BackendName],
        versions: &DeclaredVersions,
    ) -> Choice {
        let usable: Vec<&Replica> = self
            .known
            .values()
            .filter(|r| r.entry.service == *service && r.takes_work(now))
            .filter(|r| !tried.contains(&r.entry.name))
            .collect();
        let (Some(engine), Some(key)) = (engine, &wanted.key) else {
            return best_plain(now, &usable);
        };
        let holders = usable.iter().copied().filter(|r| is_current(now, r, key, versions));
        let delay = |r: &Replica| expected_delay_ms(now, r, engine, wanted, key);
        let best = holders.map(|r| (delay(r), r)).min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((best_delay, best)) = best else {
            return load_targets(now, &usable, key);
        };
        let spread = if best_delay >= SPREAD_FROM_MS && best.is_crowded(now, key) {
            spread_target(now, &usable, key, best, &delay)
        } else {
            None
        };
        Choice::Send { replica: best.entry.name.clone(), spread }
    }
}

fn is_current(
    now: Timestamp,
    replica: &Replica,
    key: &AdapterKey,
    versions: &DeclaredVersions,
) -> bool {
    let Some(held) = replica.holds(now, key) else { return false };
    match versions.newest_with_age(now, key) {
        Some((newest, age)) => held >= newest || age < OLD_VERSION_TIME,
        None => true,
    }
}

fn best_plain(now: Timestamp, usable: &[&Replica]) -> Choice {
    let delay = |r: &Replica| {
        let load = r.workload(now);
        let per_slot = f64::from(load.requests) / f64::from(r.entry.slots.max(1));
        per_slot * SLOT_WAIT_MS + r.failure_score(now) * FAILURE_MS
    };
    let best = usable.iter().map(|r| (delay(r), r)).min_by(|a, b| a.0.total_cmp(&b.0));
    match best {
        Some((_, best)) => Choice::Send { replica: best.entry.name.clone(), spread: None },
        None => Choice::NoReplica,
    }
}

/// Time until the first token, as far as it depends on the replica.
fn expected_delay_ms(
    now: Timestamp,
    replica: &Replica,
    engine: &EngineSpec,
    wanted: &RequestNeeds,
    key: &AdapterKey,
) -> f64 {
    let load = replica.workload(now);
    let known = replica.prefixes.cached_prefix_tokens(key, &wanted.parts);
    let unread = load.unread_tokens + wanted.prompt_tokens.saturating_sub(known);
    let memory = (load.held_tokens + wanted.workload(known).held_tokens) as f64;
    let fill = memory / engine.kv_tokens.max(1) as f64;
    let overfull = (fill - FULL_MEMORY).max(0.0) + if fill > FULL_MEMORY { 0.2 } else { 0.0 };
    unread as f64 / READ_TOKENS_PER_MS
        + f64::from(load.requests) * REQUEST_MS
        + overfull * FULL_MEMORY_MS
        + replica.failure_score(now) * FAILURE_MS
}

/// Replicas that could load an adapter, in its rendezvous order.
///
/// The order doesn't depend on the load: a replica loads again fast, and without the
/// weight store, what it has held before.
fn load_targets(now: Timestamp, usable: &[&Replica], key: &AdapterKey) -> Choice {
    if usable.is_empty() {
        return Choice::NoReplica;
    }
    let base = AdapterKey::base(key.model.clone());
    let mut ranked = rendezvous::rank(&key.label(), usable.to_vec(), |r| r.entry.name.as_str());
    ranked.sort_by_key(|r| r.holds(now, &base).is_none());
    Choice::Load(ranked.iter().map(|r| r.entry.name.clone()).collect())
}

/// The first replica in an adapter's order that doesn't hold it and is much less busy;
/// one that held it before goes first.
fn spread_target(
    now: Timestamp,
    usable: &[&Replica],
    key: &AdapterKey,
    best: &Replica,
    delay: &dyn Fn(&Replica) -> f64,
) -> Option<BackendName> {
    let base = AdapterKey::base(key.model.clone());
    let best_delay = delay(best);
    let free = |r: &Replica| {
        r.holds(now, key).is_none() && r.holds(now, &base).is_some() && delay(r) < best_delay / 2.0
    };
    let free: Vec<&Replica> = usable.iter().copied().filter(|r| free(r)).collect();
    let mut ranked = rendezvous::rank(&key.label(), free, |r| r.entry.name.as_str());
    ranked.sort_by_key(|r| !r.had(now, key));
    ranked.first().map(|r| r.entry.name.clone())
}

//! How the usable replicas of a service compare for one request.

use std::time::Duration;

use super::AdapterKey;
use super::DeclaredVersions;
use super::EngineSpec;
use super::Replica;
use super::ReplicaChoice;
use super::RequestNeeds;
use crate::decide::rendezvous;
use crate::names::BackendName;
use crate::names::Timestamp;

/// Prompt tokens that an engine reads per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 38.7;
/// Delay that each request in progress adds to a new one, in ms.
const DELAY_PER_REQUEST_MS: f64 = 1.5;
/// Share of an engine's KV cache from which on requests are expected to be preempted.
const FULL_KV_SHARE: f64 = 0.85;
/// Delay that stands for a KV cache overfilled by its whole size, in ms.
const FULL_KV_DELAY_MS: f64 = 1500.0;
/// Delay that stands for one recent failure, in ms.
const DELAY_PER_FAILURE_MS: f64 = 60.0;
/// Delay expected of a request that waits for a slot of a plain service, in ms; it is scaled by
/// the requests per slot.
const SLOT_WAIT_MS: f64 = 40.0;
/// Time since this instance learned of a declared version for which older ones are still used.
const OLD_VERSION_GRACE: Duration = Duration::from_millis(2500);

/// Whether a replica holds the newest declared version of an adapter, or one that may still be used.
pub fn holds_current_version(
    now: Timestamp,
    replica: &Replica,
    key: &AdapterKey,
    versions: &DeclaredVersions,
) -> bool {
    let Some(held) = replica.held_version(now, key) else { return false };
    match versions.newest_with_age(now, key) {
        Some((newest, age)) => held >= newest || age < OLD_VERSION_GRACE,
        None => true,
    }
}

/// The replica with the fewest requests per slot; recent failures count as delay.
pub fn choose_for_plain_service(now: Timestamp, usable: &[&Replica]) -> ReplicaChoice {
    let delay = |r: &Replica| {
        let workload = r.workload(now);
        let per_slot = f64::from(workload.requests) / f64::from(r.entry.slots.max(1));
        per_slot * SLOT_WAIT_MS + r.failure_score(now) * DELAY_PER_FAILURE_MS
    };
    let best = usable.iter().map(|r| (delay(r), r)).min_by(|a, b| a.0.total_cmp(&b.0));
    match best {
        Some((_, best)) => ReplicaChoice::Send { replica: best.entry.name.clone(), spread: None },
        None => ReplicaChoice::NoReplica,
    }
}

/// Expected time until the first token, as far as it depends on the replica: prefill of unread
/// prompts, requests in progress, preemption in a full KV cache, and recent failures.
pub fn expected_delay_ms(
    now: Timestamp,
    replica: &Replica,
    engine: &EngineSpec,
    needs: &RequestNeeds,
    key: &AdapterKey,
) -> f64 {
    let workload = replica.workload(now);
    let cached_tokens = replica.prefixes.cached_prefix_tokens(key, &needs.parts);
    let mut with_request = workload;
    with_request.add(needs.workload(cached_tokens));
    let fill = with_request.held_tokens as f64 / engine.kv_tokens.max(1) as f64;
    let overfull = (fill - FULL_KV_SHARE).max(0.0) + if fill > FULL_KV_SHARE { 0.2 } else { 0.0 };
    with_request.unread_tokens as f64 / PREFILL_TOKENS_PER_MS
        + f64::from(workload.requests) * DELAY_PER_REQUEST_MS
        + overfull * FULL_KV_DELAY_MS
        + replica.failure_score(now) * DELAY_PER_FAILURE_MS
}

/// Replicas that could load an adapter, in its rendezvous ranking; those without its base model
/// go last, and before them those with a limit, which loads would use up.
///
/// The ranking doesn't depend on the workload: a replica loads again fast, and without the
/// weight store, what it has held before.
pub fn choose_load_targets(now: Timestamp, usable: &[&Replica], key: &AdapterKey) -> ReplicaChoice {
    if usable.is_empty() {
        return ReplicaChoice::NoReplica;
    }
    let base = AdapterKey::base(key.model.clone());
    let mut ranked = rendezvous::rank(&key.label(), usable.to_vec(), |r| r.entry.name.as_str());
    ranked.sort_by_key(|r| (r.held_version(now, &base).is_none(), r.limits.needs_permit()));
    ReplicaChoice::Load(ranked.iter().map(|r| r.entry.name.clone()).collect())
}

/// The first replica in an adapter's rendezvous ranking that holds the base model but not the
/// adapter, with less than half the expected delay of the best holder; those that held the
/// adapter lately go first.
pub fn spread_target(
    now: Timestamp,
    usable: &[&Replica],
    key: &AdapterKey,
    best: &Replica,
    delay: &dyn Fn(&Replica) -> f64,
) -> Option<BackendName> {
    let base = AdapterKey::base(key.model.clone());
    let best_delay = delay(best);
    let free = |r: &Replica| {
        !r.limits.needs_permit()
            && r.held_version(now, key).is_none()
            && r.held_version(now, &base).is_some()
            && delay(r) < best_delay / 2.0
    };
    let free: Vec<&Replica> = usable.iter().copied().filter(|r| free(r)).collect();
    let mut ranked = rendezvous::rank(&key.label(), free, |r| r.entry.name.as_str());
    ranked.sort_by_key(|r| !r.held_recently(now, key));
    ranked.first().map(|r| r.entry.name.clone())
}

//! Offline bound on load stalls: Belady's eviction with knowledge of all future requests.
//!
//! All slots of the fleet form one cache, so there is no routing, and batches
//! have no limit. A request whose adapter isn't loaded loads it on demand; the
//! victim is the idle adapter whose next request is farthest in the future.
//! Loads start in the order of the requests at the weight store's rate and take
//! 250 ms. A request that would wait past its deadline, or that finds no idle
//! adapter to evict, is refused at once and loads nothing. Nothing is prefetched,
//! and no load fails.

use std::collections::HashMap;
use std::time::Duration;

use tamaracklead::names::Timestamp;

use super::simulation::FIRST_TOKEN_DEADLINE;
use crate::model::LOAD_TIME;
use crate::workloads::Deployment;
use crate::workloads::FleetEvent;
use crate::workloads::WARM_UP;
use crate::workloads::Workload;

/// Time per generated token, which determines how long a request keeps its adapter in use.
const TOKEN_TIME: Duration = Duration::from_millis(28);

/// Load stalls, refusals and loads of the offline bound, after the warm-up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OfflineBound {
    /// Requests that stalled on a load.
    pub stalled: u64,
    /// Sum of their load stalls, in seconds.
    pub stall_total_s: f64,
    /// Requests refused at their arrival.
    pub refused: u64,
    /// Adapter loads.
    pub loads: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct CachedAdapter {
    ready: Timestamp,
    busy_until: Timestamp,
    next_use: Timestamp,
}

impl OfflineBound {
    /// Computes the bound for a workload.
    pub fn compute(deployment: &Deployment, workload: &Workload) -> Self {
        let capacity = deployment.engines * deployment.slots;
        let next_uses = next_uses(workload);
        let mut bound = Self::default();
        let mut cache: HashMap<usize, CachedAdapter> = HashMap::new();
        let mut interval = Duration::from_secs_f64(1.0 / deployment.store_rate);
        let mut store_free = Timestamp::ZERO;
        let mut events = workload.events.iter().peekable();
        for (arrival, next_use) in workload.arrivals.iter().zip(next_uses) {
            while let Some((_, event)) = events.next_if(|(at, _)| *at <= arrival.at) {
                match event {
                    FleetEvent::StoreRate(rate) => interval = Duration::from_secs_f64(1.0 / rate),
                    FleetEvent::Restart(engine) => {
                        cache.retain(|adapter, _| adapter % deployment.engines != *engine);
                    }
                    FleetEvent::Preset(_) => {}
                }
            }
            let is_measured = arrival.at >= Timestamp::ZERO + WARM_UP;
            if !cache.contains_key(&arrival.adapter) {
                let start = store_free.max(arrival.at);
                let ready = start + LOAD_TIME;
                let has_slot = cache.len() < capacity || evict(&mut cache, arrival.at);
                if !has_slot || ready > arrival.at + FIRST_TOKEN_DEADLINE {
                    bound.refused += u64::from(is_measured);
                    continue;
                }
                store_free = start + interval;
                bound.loads += u64::from(is_measured);
                cache.insert(arrival.adapter, CachedAdapter { ready, ..CachedAdapter::default() });
            }
            let Some(cached) = cache.get_mut(&arrival.adapter) else { continue };
            let stall = cached.ready.since(arrival.at);
            let begin = cached.ready.max(arrival.at);
            cached.busy_until = cached.busy_until.max(begin + TOKEN_TIME * arrival.answer_tokens);
            cached.next_use = next_use;
            if is_measured && !stall.is_zero() {
                bound.stalled += 1;
                bound.stall_total_s += stall.as_secs_f64();
            }
        }
        bound
    }
}

/// For each arrival, the time of the next arrival for the same adapter.
fn next_uses(workload: &Workload) -> Vec<Timestamp> {
    let mut next: HashMap<usize, Timestamp> = HashMap::new();
    let never = Timestamp::from_micros(u64::MAX);
    let mut uses: Vec<Timestamp> = workload
        .arrivals
        .iter()
        .rev()
        .map(|arrival| next.insert(arrival.adapter, arrival.at).unwrap_or(never))
        .collect();
    uses.reverse();
    uses
}

/// Evicts the idle adapter with the farthest next use; false if every adapter is in use.
fn evict(cache: &mut HashMap<usize, CachedAdapter>, now: Timestamp) -> bool {
    let idle = cache.iter().filter(|(_, cached)| cached.busy_until <= now);
    let victim = idle.max_by_key(|(adapter, cached)| (cached.next_use, **adapter));
    let Some(victim) = victim.map(|(adapter, _)| *adapter) else { return false };
    cache.remove(&victim).is_some()
}

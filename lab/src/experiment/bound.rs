//! An offline bound on load stalls that knows the future requests.
//!
//! All slots of the fleet form one cache, so no engine is ever the wrong one,
//! and batches have no limit. A request whose adapter isn't loaded loads it on
//! demand; the victim is the idle adapter whose next request is farthest away
//! (Belady). Loads start in the order of the requests at the store's rate and
//! take 250 ms. A request that would wait past its deadline is refused at once
//! and loads nothing. Nothing is loaded ahead of its request, and no load fails.

use std::collections::HashMap;
use std::time::Duration;

use tamaracklead::names::Timestamp;

use super::fleet::DEADLINE;
use crate::load::Deployment;
use crate::load::FleetEvent;
use crate::load::WARM_UP;
use crate::load::Workload;
use crate::model::LOAD_TIME;

/// Time of one token, for how long an adapter is busy.
const TOKEN: Duration = Duration::from_millis(28);

/// Stalls of the offline bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bound {
    /// Requests that waited for a load.
    pub stalled: u64,
    /// Their waiting time in all, in seconds.
    pub stall_total_s: f64,
    /// Requests refused.
    pub refused: u64,
    /// Loads.
    pub loads: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Resident {
    ready: Timestamp,
    busy_until: Timestamp,
    next_use: Timestamp,
}

impl Bound {
    /// Works out the bound for a run.
    pub fn of(deployment: &Deployment, workload: &Workload) -> Self {
        let capacity = deployment.engines * deployment.slots;
        let next_uses = next_uses(workload);
        let mut bound = Self::default();
        let mut cache: HashMap<usize, Resident> = HashMap::new();
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
            let measured = arrival.at >= Timestamp::ZERO + WARM_UP;
            if !cache.contains_key(&arrival.adapter) {
                let start = store_free.max(arrival.at);
                let ready = start + LOAD_TIME;
                let evicted = cache.len() < capacity || evict(&mut cache, arrival.at);
                if !evicted || ready > arrival.at + DEADLINE {
                    bound.refused += u64::from(measured);
                    continue;
                }
                store_free = start + interval;
                bound.loads += u64::from(measured);
                cache.insert(arrival.adapter, Resident { ready, ..Resident::default() });
            }
            let Some(resident) = cache.get_mut(&arrival.adapter) else { continue };
            let stall = resident.ready.since(arrival.at);
            let begin = resident.ready.max(arrival.at);
            resident.busy_until = resident.busy_until.max(begin + TOKEN * arrival.answer_tokens);
            resident.next_use = next_use;
            if measured && !stall.is_zero() {
                bound.stalled += 1;
                bound.stall_total_s += stall.as_secs_f64();
            }
        }
        bound
    }
}

/// For each arrival, when its adapter is asked for next.
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

fn evict(cache: &mut HashMap<usize, Resident>, now: Timestamp) -> bool {
    let idle = cache.iter().filter(|(_, resident)| resident.busy_until <= now);
    let victim = idle.max_by_key(|(adapter, resident)| (resident.next_use, **adapter));
    let Some(victim) = victim.map(|(adapter, _)| *adapter) else { return false };
    cache.remove(&victim).is_some()
}

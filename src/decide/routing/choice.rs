//! Choice among the candidate engines of an adapter, by expected cost in seconds.

use std::time::Duration;

use crate::decide::engine::EngineSummary;
use crate::names::AdapterRef;

/// Time that a load takes at full speed.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Time for which a request occupies its place in the batch.
const SERVICE_TIME: Duration = Duration::from_secs(6);
/// Time until a slot is idle whose adapter has requests.
const BUSY_SLOT_WAIT: Duration = Duration::from_secs(4);
/// Cost in seconds of evicting an adapter, per request of its decayed request count.
const EVICTION_COST: f64 = 0.25;
/// Advantage in seconds of joining a full batch over an empty one, at stall weight 0.
const BATCH_FILL_BONUS: f64 = 0.8;

/// Index of the candidate with the least expected cost, the first of equals; `None` without any.
///
/// `stall_weight`, from 0 to 100, weighs load stalls against batch fill.
pub fn choose_engine(
    adapter: &AdapterRef,
    candidates: &[&EngineSummary],
    stall_weight: u8,
) -> Option<usize> {
    let cost = |candidate: &&EngineSummary| expected_cost(adapter, candidate, stall_weight);
    let costs = candidates.iter().map(cost).enumerate();
    costs
        .min_by(|a, b| a.1.total_cmp(&b.1).then_with(|| a.0.cmp(&b.0)))
        .map(|(candidate, _)| candidate)
}

/// Expected cost in seconds of sending a request for an adapter to an engine.
///
/// The sum of load time and queueing time, less the bonus for batch fill. A loaded adapter
/// costs no load; one whose load is pending costs one load time; any other also costs the wait
/// for a permit, and if no slot is free, the eviction of an idle adapter or the wait for one.
pub fn expected_cost(adapter: &AdapterRef, candidate: &EngineSummary, stall_weight: u8) -> f64 {
    let load = if candidate.ready.contains(adapter) {
        0.0
    } else if candidate.pending_loads.contains(adapter) {
        LOAD_TIME.as_secs_f64()
    } else {
        LOAD_TIME.as_secs_f64() + candidate.load_wait.as_secs_f64() + eviction_cost(candidate)
    };
    load + queue_cost(candidate) - batch_fill_bonus(candidate, stall_weight)
}

fn eviction_cost(candidate: &EngineSummary) -> f64 {
    if candidate.free_slots > 0 {
        return 0.0;
    }
    candidate.victim_demand.map_or(BUSY_SLOT_WAIT.as_secs_f64(), |count| EVICTION_COST * count)
}

fn queue_cost(candidate: &EngineSummary) -> f64 {
    let batch = candidate.batch.max(1) as f64;
    let excess = (candidate.depth + 1).saturating_sub(candidate.batch) as f64;
    excess * SERVICE_TIME.as_secs_f64() / batch
}

fn batch_fill_bonus(candidate: &EngineSummary, stall_weight: u8) -> f64 {
    let batch = candidate.batch.max(1) as f64;
    let fill = (candidate.depth as f64 / batch).min(1.0);
    let batch_weight = f64::from(100_u8.saturating_sub(stall_weight)) / 100.0;
    fill * BATCH_FILL_BONUS * batch_weight
}

//! The choice among the homes of an adapter.

use std::time::Duration;

use crate::decide::engine::EngineSummary;
use crate::names::AdapterRef;

/// Time of a load at full speed.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Time for which a request holds its place in the batch.
const SERVICE_TIME: Duration = Duration::from_secs(6);
/// Time until an adapter with work on it is idle.
const BUSY_SLOT_WAIT: Duration = Duration::from_secs(4);
/// Cost in seconds of evicting an adapter, for each request of its decayed count.
const EVICTION_COST: f64 = 0.25;
/// Worth in seconds of joining a full batch rather than an empty one, at stall weight 0.
const PACKING_WORTH: f64 = 0.8;

/// Index of the home with the least expected cost; the first of equal ones.
///
/// `stall_weight` weighs load stalls against batch efficiency, 0 to 100.
pub fn choose_engine(
    adapter: &AdapterRef,
    homes: &[&EngineSummary],
    stall_weight: u8,
) -> Option<usize> {
    let cost = |home: &&EngineSummary| expected_cost(adapter, home, stall_weight);
    let costs = homes.iter().map(cost).enumerate();
    costs.min_by(|a, b| a.1.total_cmp(&b.1).then_with(|| a.0.cmp(&b.0))).map(|(home, _)| home)
}

/// Expected cost in seconds of sending a request for an adapter to an engine.
pub fn expected_cost(adapter: &AdapterRef, home: &EngineSummary, stall_weight: u8) -> f64 {
    let load = if home.ready.contains(adapter) {
        0.0
    } else if home.coming.contains(adapter) {
        LOAD_TIME.as_secs_f64()
    } else {
        LOAD_TIME.as_secs_f64() + home.load_wait.as_secs_f64() + eviction_cost(home)
    };
    load + queue_cost(home) - packing_worth(home, stall_weight)
}

fn eviction_cost(home: &EngineSummary) -> f64 {
    if home.free_slots > 0 {
        return 0.0;
    }
    home.victim_demand.map_or(BUSY_SLOT_WAIT.as_secs_f64(), |count| EVICTION_COST * count)
}

fn queue_cost(home: &EngineSummary) -> f64 {
    let batch = home.batch.max(1) as f64;
    let over = (home.depth + 1).saturating_sub(home.batch) as f64;
    over * SERVICE_TIME.as_secs_f64() / batch
}

fn packing_worth(home: &EngineSummary, stall_weight: u8) -> f64 {
    let batch = home.batch.max(1) as f64;
    let fill = (home.depth as f64 / batch).min(1.0);
    let batch_weight = f64::from(100_u8.saturating_sub(stall_weight)) / 100.0;
    fill * PACKING_WORTH * batch_weight
}

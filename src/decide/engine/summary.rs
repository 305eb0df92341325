//! What routing knows of an engine's slots and queue.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::names::AdapterRef;

/// Summary of an engine's slots and queue, made by its owner for the instances that route to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSummary {
    /// Adapters that are loaded.
    pub ready: BTreeSet<AdapterRef>,
    /// Adapters that are being loaded, or whose load permit is requested or granted.
    pub pending_loads: BTreeSet<AdapterRef>,
    /// Slots that are neither occupied nor claimed by a requested or permitted load.
    pub free_slots: usize,
    /// Decayed request count of the adapter to evict next; `None` if no loaded adapter is idle.
    pub victim_demand: Option<f64>,
    /// Requests that wait or run.
    pub depth: usize,
    /// Requests that the engine runs at once.
    pub batch: usize,
    /// How long a new load would wait for its permit.
    pub load_wait: Duration,
}

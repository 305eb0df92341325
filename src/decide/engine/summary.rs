//! What the owner of an engine tells the entry instances that route to it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::names::AdapterRef;

/// Slots and queue of an engine in brief.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSummary {
    /// Adapters that are loaded.
    pub ready: BTreeSet<AdapterRef>,
    /// Adapters that are being loaded, or whose load is applied for.
    pub coming: BTreeSet<AdapterRef>,
    /// Slots that are free and not spoken for.
    pub free_slots: usize,
    /// Decayed request count of the next victim; none if every adapter has work.
    pub victim_demand: Option<f64>,
    /// Requests that wait or run.
    pub depth: usize,
    /// Requests that the engine runs at once.
    pub batch: usize,
    /// How long a new load would wait for its permit.
    pub load_wait: Duration,
}

//! Loaded adapters and free slots of a running fleet.

use std::collections::BTreeSet;

use crate::names::AdapterRef;
use crate::wire::operator::FleetStatus;

/// Loaded adapters and free slots of all engines that have an owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSlots {
    /// Adapters loaded on at least one engine.
    pub loaded: BTreeSet<AdapterRef>,
    /// Slots without an adapter, over all engines.
    pub free: usize,
}

impl FleetSlots {
    /// Sums up what the instances answered; an instance without an answer adds nothing.
    pub fn of(fleet: &FleetStatus) -> Self {
        let mut slots = Self::default();
        let answers = fleet.members.iter().filter_map(|member| member.status.as_ref());
        for engine in answers.flat_map(|status| &status.engines) {
            slots.free += engine.slots.saturating_sub(engine.loaded.len());
            slots.loaded.extend(engine.loaded.iter().cloned());
        }
        slots
    }
}

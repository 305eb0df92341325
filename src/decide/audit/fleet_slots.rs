//! What the owned engines of a fleet hold now.

use std::collections::BTreeSet;

use crate::names::AdapterRef;
use crate::wire::operator::FleetStatus;

/// Adapters and free slots of every engine that has an owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSlots {
    /// Adapters loaded on at least one engine.
    pub loaded: BTreeSet<AdapterRef>,
    /// Slots without an adapter, over all engines.
    pub free: usize,
}

impl FleetSlots {
    /// Adds up what the instances answered.
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

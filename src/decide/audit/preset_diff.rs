//! What a switch from one preset to another changes and costs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Serialize;

use super::ConfigDraft;
use super::FleetSlots;
use super::StoreBudget;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::AdapterName;
use crate::names::AdapterRef;
use crate::names::PresetName;
use crate::wire::published::Preset;

/// A value before and after a switch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change<T> {
    /// Value in the first preset.
    pub from: T,
    /// Value in the second preset.
    pub to: T,
}

/// Changes and costs of a switch from one preset to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PresetDiff {
    /// Preset before.
    pub from: PresetName,
    /// Preset after.
    pub to: PresetName,
    /// Newly pinned adapters that are loaded for the switch.
    pub loads: Vec<AdapterRef>,
    /// Newly pinned adapters that some engine has loaded already.
    pub loaded: Vec<AdapterRef>,
    /// Fewest evictions that make room for the loads; `None` if the fleet's slots aren't known.
    pub evictions: Option<usize>,
    /// Adapters that are no longer pinned; each may be evicted when it is idle.
    pub unpins: Vec<AdapterName>,
    /// Adapters that stay pinned.
    pub keeps: Vec<AdapterName>,
    /// Adapter priorities that change; `None` where a preset sets none.
    pub priorities: BTreeMap<AdapterName, Change<Option<u8>>>,
    /// Weight of load stalls, 0 to 100; `None` if it stays.
    pub stall_weight: Option<Change<u8>>,
    /// Whether completions are accepted; `None` if it stays.
    pub accepting: Option<Change<bool>>,
    /// Least time that the weight store needs for the loads, in milliseconds.
    pub store_time_ms: u64,
}

impl PresetDiff {
    /// Compares two presets of one configuration; `slots` is `None` if the fleet isn't known.
    ///
    /// # Errors
    ///
    /// `NotFound` if a preset doesn't exist, `UnknownAdapter` if a newly pinned
    /// adapter isn't published.
    pub fn between(
        draft: &ConfigDraft,
        from: &PresetName,
        to: &PresetName,
        store: &StoreBudget,
        slots: Option<&FleetSlots>,
    ) -> Result<Self> {
        let before = find_preset(draft, from)?;
        let after = find_preset(draft, to)?;
        let old: BTreeSet<_> = before.pinned.iter().cloned().collect();
        let new: BTreeSet<_> = after.pinned.iter().cloned().collect();
        let pinned = new
            .difference(&old)
            .map(|adapter| newest_version(draft, adapter))
            .collect::<Result<Vec<_>>>()?;
        let (loaded, loads): (Vec<_>, Vec<_>) = pinned
            .into_iter()
            .partition(|adapter| slots.is_some_and(|slots| slots.loaded.contains(adapter)));
        let store_time: Duration = store.least_time(loads.len());
        Ok(Self {
            from: from.clone(),
            to: to.clone(),
            evictions: slots.map(|slots| loads.len().saturating_sub(slots.free)),
            loads,
            loaded,
            unpins: old.difference(&new).cloned().collect(),
            keeps: old.intersection(&new).cloned().collect(),
            priorities: priorities(before, after),
            stall_weight: change(before.stall_weight, after.stall_weight),
            accepting: change(before.accepting, after.accepting),
            store_time_ms: u64::try_from(store_time.as_millis()).unwrap_or(u64::MAX),
        })
    }
}

fn find_preset<'a>(draft: &'a ConfigDraft, name: &PresetName) -> Result<&'a Preset> {
    draft.preset(name).ok_or_else(|| {
        Error::new(ErrorKind::NotFound, format!("preset {:?} does not exist", name.as_str()))
    })
}

fn newest_version(draft: &ConfigDraft, adapter: &AdapterName) -> Result<AdapterRef> {
    let version = draft.adapters().get(adapter).and_then(|published| published.newest());
    version.map(|version| AdapterRef::new(adapter.clone(), version)).ok_or_else(|| {
        let detail = format!("pinned adapter {:?} has no published version", adapter.as_str());
        Error::new(ErrorKind::UnknownAdapter, detail)
    })
}

fn priorities(before: &Preset, after: &Preset) -> BTreeMap<AdapterName, Change<Option<u8>>> {
    let names: BTreeSet<_> = before.priorities.keys().chain(after.priorities.keys()).collect();
    names
        .into_iter()
        .filter_map(|name| {
            let from = before.priorities.get(name).copied();
            let to = after.priorities.get(name).copied();
            Some((name.clone(), change(from, to)?))
        })
        .collect()
}

fn change<T: PartialEq>(from: T, to: T) -> Option<Change<T>> {
    (from != to).then_some(Change { from, to })
}

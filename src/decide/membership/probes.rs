//! Probes that await a reply, sent for this instance or on behalf of another member.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::limits::DIRECT_PROBE_TIMEOUT;
use super::limits::INDIRECT_PROBE_TIMEOUT;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// A probe that wasn't answered yet.
#[derive(Clone, Copy, Debug)]
struct Probe {
    call: u64,
    sent_at: Timestamp,
    failed: bool,
    indirect_requested: bool,
}

/// Outstanding probes: at most one for each target, and those relayed for other members.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    outstanding: BTreeMap<InstanceName, Probe>,
    relayed: BTreeMap<u64, (InstanceName, InstanceName)>,
}

impl Probes {
    /// Records a probe under its call number; replaces an earlier one of the same target.
    pub fn record_sent(&mut self, now: Timestamp, target: &InstanceName, call: u64) {
        let probe = Probe { call, sent_at: now, failed: false, indirect_requested: false };
        self.outstanding.insert(target.clone(), probe);
    }

    /// Whether a probe of the target is outstanding.
    pub fn is_probing(&self, target: &InstanceName) -> bool {
        self.outstanding.contains_key(target)
    }

    /// Records a probe of `target` on behalf of `origin`.
    pub fn record_relayed(&mut self, call: u64, target: InstanceName, origin: InstanceName) {
        self.relayed.insert(call, (target, origin));
    }

    /// Ends a relayed probe; returns its target and the member that asked for it.
    pub fn take_relayed(&mut self, call: u64) -> Option<(InstanceName, InstanceName)> {
        self.relayed.remove(&call)
    }

    /// Ends the target's probe if `call` is its number; returns whether it was.
    pub fn on_answered(&mut self, target: &InstanceName, call: u64) -> bool {
        let matches = self.outstanding.get(target).is_some_and(|probe| probe.call == call);
        if matches {
            self.outstanding.remove(target);
        }
        matches
    }

    /// Ends the probe of a target that another member reached; returns whether there was one.
    pub fn on_reached_by_other(&mut self, target: &InstanceName) -> bool {
        self.outstanding.remove(target).is_some()
    }

    /// Records that the call of a probe failed, so that indirect probes needn't wait.
    pub fn on_call_failed(&mut self, target: &InstanceName, call: u64) {
        if let Some(probe) = self.outstanding.get_mut(target) {
            probe.failed |= probe.call == call;
        }
    }

    /// Targets due for indirect probes; each is returned once for a probe.
    pub fn take_overdue(&mut self, now: Timestamp) -> Vec<InstanceName> {
        let mut overdue = Vec::new();
        for (target, probe) in &mut self.outstanding {
            let late = probe.failed || now.since(probe.sent_at) >= DIRECT_PROBE_TIMEOUT;
            if late && !probe.indirect_requested {
                probe.indirect_requested = true;
                overdue.push(target.clone());
            }
        }
        overdue
    }

    /// Ends and returns the probes whose targets nobody reached in time.
    pub fn take_unreached(&mut self, now: Timestamp) -> BTreeSet<InstanceName> {
        let is_unreached = |probe: &Probe| now.since(probe.sent_at) >= INDIRECT_PROBE_TIMEOUT;
        let unreached: BTreeSet<InstanceName> = self
            .outstanding
            .iter()
            .filter(|(_, probe)| is_unreached(probe))
            .map(|(target, _)| target.clone())
            .collect();
        self.outstanding.retain(|target, _| !unreached.contains(target));
        unreached
    }

    /// Drops every probe.
    pub fn clear(&mut self) {
        self.outstanding.clear();
        self.relayed.clear();
    }
}

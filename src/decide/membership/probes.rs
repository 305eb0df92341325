//! Probes that wait for an answer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::limits::PROBE_LIMIT;
use super::limits::PROBE_TIMEOUT;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// One probe that wasn't answered yet.
#[derive(Clone, Copy, Debug)]
struct Probe {
    call: u64,
    sent: Timestamp,
    failed: bool,
    indirect: bool,
}

/// Probes of this instance, and those that it makes for others.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    waiting: BTreeMap<InstanceName, Probe>,
    relayed: BTreeMap<u64, (InstanceName, InstanceName)>,
}

impl Probes {
    /// Records a probe; `call` is its number.
    pub fn sent(&mut self, now: Timestamp, target: &InstanceName, call: u64) {
        let probe = Probe { call, sent: now, failed: false, indirect: false };
        self.waiting.insert(target.clone(), probe);
    }

    /// Whether a probe of the target waits.
    pub fn waits_for(&self, target: &InstanceName) -> bool {
        self.waiting.contains_key(target)
    }

    /// Records a probe of `target` for another member.
    pub fn relay(&mut self, call: u64, target: InstanceName, origin: InstanceName) {
        self.relayed.insert(call, (target, origin));
    }

    /// Ends a relayed probe; returns the member that asked for it.
    pub fn end_relay(&mut self, call: u64) -> Option<(InstanceName, InstanceName)> {
        self.relayed.remove(&call)
    }

    /// Ends the probe of the target; returns whether `call` is its number.
    pub fn answered(&mut self, target: &InstanceName, call: u64) -> bool {
        let matches = self.waiting.get(target).is_some_and(|probe| probe.call == call);
        if matches {
            self.waiting.remove(target);
        }
        matches
    }

    /// Ends the probe of a target that another member reached.
    pub fn reached(&mut self, target: &InstanceName) -> bool {
        self.waiting.remove(target).is_some()
    }

    /// Records that the call of a probe failed.
    pub fn call_failed(&mut self, target: &InstanceName, call: u64) {
        if let Some(probe) = self.waiting.get_mut(target) {
            probe.failed |= probe.call == call;
        }
    }

    /// Targets that others should probe now.
    pub fn take_silent(&mut self, now: Timestamp) -> Vec<InstanceName> {
        let mut silent = Vec::new();
        for (target, probe) in &mut self.waiting {
            let late = probe.failed || now.since(probe.sent) >= PROBE_TIMEOUT;
            if late && !probe.indirect {
                probe.indirect = true;
                silent.push(target.clone());
            }
        }
        silent
    }

    /// Targets that nobody reached in time.
    pub fn take_lost(&mut self, now: Timestamp) -> BTreeSet<InstanceName> {
        let is_lost = |probe: &Probe| now.since(probe.sent) >= PROBE_LIMIT;
        let lost: BTreeSet<InstanceName> = self
            .waiting
            .iter()
            .filter(|(_, probe)| is_lost(probe))
            .map(|(target, _)| target.clone())
            .collect();
        self.waiting.retain(|target, _| !lost.contains(target));
        lost
    }

    /// Forgets every probe.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.relayed.clear();
    }
}

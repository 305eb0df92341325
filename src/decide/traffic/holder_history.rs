//! Which instances gave a replica orders lately, so that holders don't take turns within a lease.
//!
//! A replica that was handed over can come back soon, if its new owner shuts down. An instance
//! that has ordered it before must then let the rest of a lease pass, also if its process has
//! restarted since and remembers nothing. So the history goes along with each handover.

use std::collections::HashMap;
use std::time::Duration;

use super::HolderWait;
use crate::names::BackendName;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// Replicas from which on those without recent orders are dropped.
const PRUNE_ABOVE: usize = 64;

/// Recent holders of replicas' orders, with the ends of their waits.
#[derive(Clone, Debug)]
pub struct HolderHistory {
    started: Timestamp,
    wait: Duration,
    holders: HashMap<BackendName, HashMap<InstanceName, Timestamp>>,
}

impl HolderHistory {
    /// The empty history of a process that has started at `started`; a holder whose turn ends has
    /// to wait for `wait` after its last order.
    pub fn new(started: Timestamp, wait: Duration) -> Self {
        Self { started, wait, holders: HashMap::new() }
    }

    /// Records that `holder` gives a replica an order, or that one was on its way until now.
    pub fn on_order(&mut self, now: Timestamp, replica: &BackendName, holder: &InstanceName) {
        self.record(now, replica, holder, now + self.wait);
    }

    /// Adds the holders that a handover names.
    pub fn on_handover(&mut self, now: Timestamp, replica: &BackendName, waits: &[HolderWait]) {
        for HolderWait { holder, wait_ms } in waits {
            let left = Duration::from_millis(*wait_ms).min(self.wait);
            self.record(now, replica, holder, now + left);
        }
    }

    /// How long `holder` has to wait before it orders a replica that is handed to it with these
    /// holders; `None` from older processes, which don't say.
    pub fn wait_after_handover(
        &mut self,
        now: Timestamp,
        replica: &BackendName,
        holder: &InstanceName,
        recent_holders: Option<&[HolderWait]>,
    ) -> Duration {
        match recent_holders {
            Some(waits) => {
                self.on_handover(now, replica, waits);
                self.wait(now, replica, holder)
            }
            None => self.full_wait(now, replica, holder),
        }
    }

    /// Holders of a replica whose waits aren't over, for its next owner.
    pub fn waits(&self, now: Timestamp, replica: &BackendName) -> Vec<HolderWait> {
        let holders = self.holders.get(replica).into_iter().flatten();
        let waiting = holders.filter(|(_, until)| **until > now);
        waiting.map(|(holder, until)| HolderWait::new(holder.clone(), until.since(now))).collect()
    }

    /// How long `holder` has to wait before it orders a replica that is handed to it: zero if
    /// nobody else has ordered the replica since its own last order.
    pub fn wait(&self, now: Timestamp, replica: &BackendName, holder: &InstanceName) -> Duration {
        let Some(holders) = self.holders.get(replica) else { return Duration::ZERO };
        let Some(own) = holders.get(holder) else { return Duration::ZERO };
        let was_followed = holders.iter().any(|(other, until)| other != holder && until >= own);
        if was_followed { own.since(now) } else { Duration::ZERO }
    }

    /// How long `holder`, which this process runs as, has to wait if it isn't known whether others
    /// have ordered the replica since; a process before this one may have ordered it too.
    pub fn full_wait(
        &self,
        now: Timestamp,
        replica: &BackendName,
        holder: &InstanceName,
    ) -> Duration {
        let own = self.holders.get(replica).and_then(|holders| holders.get(holder));
        let of_earlier_process = self.started + self.wait;
        own.copied().unwrap_or_default().max(of_earlier_process).since(now)
    }

    fn record(
        &mut self,
        now: Timestamp,
        replica: &BackendName,
        holder: &InstanceName,
        until: Timestamp,
    ) {
        if self.holders.len() > PRUNE_ABOVE {
            self.holders.retain(|_, holders| holders.values().any(|until| *until > now));
        }
        let holders = self.holders.entry(replica.clone()).or_default();
        holders.retain(|_, until| *until > now);
        let known = holders.entry(holder.clone()).or_insert(until);
        *known = until.max(*known);
    }
}

//! What must hold for each instance at any time.

use tamaracklead::decide::config_freshness::ConfigTrust;

use crate::instance::PROPAGATION_MS;
use crate::instance::REVOCATION_MS;
use crate::world::World;

/// Time after the end of trouble by which an instance must have caught up.
const RECOVERY_MS: u64 = PROPAGATION_MS;

impl World {
    /// Records the faults of an instance that runs.
    pub fn check(&mut self, me: usize) {
        let (ms, now) = (self.ms, self.local(me));
        let instance = &self.instances[me];
        let trust = instance.freshness.trust(now);
        let version = instance.version.unwrap_or_default();
        let outdated_for =
            self.store.succeeded_at(version).map(|at| ms.saturating_sub(at)).unwrap_or_default();
        let mut fault = |what: &str| {
            let line = format!(
                "{ms} ms: instance {me} is {trust:?} with version {version}, {what}, outdated for \
                 {outdated_for} ms, proof {:?}, highest {:?}",
                instance.freshness.age(now),
                instance.freshness.highest_version()
            );
            self.report.faults.push(line);
        };
        if trust != ConfigTrust::Stale && outdated_for > REVOCATION_MS {
            fault("accepts revoked keys");
        }
        if trust == ConfigTrust::Current && outdated_for > PROPAGATION_MS {
            fault("calls new keys unknown");
        }
        let is_in_touch = ms >= instance.trouble_until.max(instance.started) + RECOVERY_MS;
        if is_in_touch && trust == ConfigTrust::Stale {
            fault("refuses keys");
        }
        if is_in_touch && outdated_for > PROPAGATION_MS {
            fault("lacks a version");
        }
        if ms > RECOVERY_MS {
            self.samples += 1;
            self.current_samples += u64::from(trust == ConfigTrust::Current);
        }
    }
}

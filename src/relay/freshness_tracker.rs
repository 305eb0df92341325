//! How fresh the configuration in effect is, by the clock that counts suspended time.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use super::boot_clock::boot_timestamp;
use super::log_event::record;
use super::store_event::StoreEvent;
use crate::decide::config_freshness::ConfigFreshness;
use crate::decide::config_freshness::ConfigProof;
use crate::decide::config_freshness::ConfigTrust;
use crate::decide::config_freshness::FreshnessLimits;
use crate::decide::rendezvous;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// Part of the shorter limit over which the instances spread their own reads of the store.
const READ_SPREAD_PART: u32 = 4;

/// Freshness of the configuration in effect; calls without a time prove nothing.
#[derive(Debug)]
pub struct FreshnessTracker {
    freshness: Mutex<ConfigFreshness>,
    logged: Mutex<ConfigTrust>,
    /// Time after which this instance reads the store, counted from when it needs to.
    read_delay: Duration,
    needs_read_since: Mutex<Option<Timestamp>>,
}

impl FreshnessTracker {
    /// Without a configuration.
    pub fn new(limits: FreshnessLimits, instance: &InstanceName) -> Self {
        let spread = limits.shorter() / READ_SPREAD_PART;
        let score = rendezvous::score("config-read", instance.as_str());
        let spread_ms = u64::try_from(spread.as_millis()).unwrap_or(u64::MAX).max(1);
        Self {
            freshness: Mutex::new(ConfigFreshness::new(limits)),
            logged: Mutex::new(ConfigTrust::Stale),
            read_delay: Duration::from_millis(score % spread_ms),
            needs_read_since: Mutex::default(),
        }
    }

    /// Records that a whole and current read of the store, asked for at `asked_at`, was applied.
    pub fn on_read(&self, asked_at: Option<Timestamp>) {
        if let Some(asked_at) = asked_at {
            self.freshness().on_read(asked_at);
        }
    }

    /// Records the proof in the reply of a peer that was called at `asked_at`.
    pub fn on_peer_proof(&self, asked_at: Option<Timestamp>, proof: Option<ConfigProof>) {
        if let (Some(asked_at), Some(proof)) = (asked_at, proof) {
            self.freshness().on_peer_proof(asked_at, proof);
        }
    }

    /// Records that a version is in effect.
    pub fn on_applied(&self, version: u64) {
        self.freshness().on_applied(version);
    }

    /// Records that a version was read that can't be decoded.
    pub fn on_undecodable(&self) {
        self.freshness().on_undecodable();
    }

    /// Records that the store was restored from a copy.
    pub fn on_restored(&self) {
        if let Some(now) = boot_timestamp() {
            self.freshness().on_restored(now);
        }
    }

    /// Has reads count without the answer of a peer.
    pub fn stop_awaiting_peer(&self) {
        self.freshness().stop_awaiting_peer();
    }

    /// Proof for a peer; `None` without a configuration or a time.
    pub fn proof(&self) -> Option<ConfigProof> {
        self.freshness().proof(boot_timestamp()?)
    }

    /// Age of the proof, in ms; `None` without one.
    pub fn proof_age_ms(&self) -> Option<u64> {
        let age = self.freshness().age(boot_timestamp()?)?;
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    /// Version in effect; `None` without a configuration.
    pub fn version(&self) -> Option<u64> {
        self.freshness().version()
    }

    /// For how long a peer has had a higher version; `None` if none is known to.
    pub fn missing_for(&self) -> Option<Duration> {
        let now = boot_timestamp()?;
        Some(now.since(self.freshness().missing_since()?))
    }

    /// Present trust in the configuration.
    pub fn trust(&self) -> ConfigTrust {
        let freshness = self.freshness();
        boot_timestamp().map_or_else(|| freshness.trust_without_clock(), |now| freshness.trust(now))
    }

    /// Present trust in the configuration; a change since the last call is logged.
    pub fn logged_trust(&self) -> ConfigTrust {
        let trust = self.trust();
        let before = std::mem::replace(&mut *lock(&self.logged), trust);
        if before != trust {
            let age_ms = self.proof_age_ms();
            let freshness = self.freshness();
            let (version, highest) = (freshness.version(), freshness.highest_version());
            drop(freshness);
            record(&StoreEvent::ConfigTrustChanged { trust, before, age_ms, version, highest });
        }
        trust
    }

    /// Whether this instance should read the store itself at `now`, a time of the process's clock:
    /// it has needed to for as long as its name gives.
    pub fn is_read_due(&self, now: Timestamp) -> bool {
        let needs_read = boot_timestamp().is_some_and(|at| self.freshness().needs_read(at));
        let mut since = lock(&self.needs_read_since);
        if !needs_read {
            *since = None;
            return false;
        }
        now.since(*since.get_or_insert(now)) >= self.read_delay
    }

    fn freshness(&self) -> MutexGuard<'_, ConfigFreshness> {
        lock(&self.freshness)
    }
}

fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}

//! How fresh the configuration of one instance is, by its own reads and the proofs of peers.
//!
//! An answer shows the state of the store at some time after the call was sent, and may remain in
//! a socket while the process is suspended. A proof therefore counts from the moment at which the
//! call was sent. What is proven is that no later version than the present one was published
//! before that moment, so a proof stays valid when a later version is applied.
//!
//! A store that was restored from a copy may have lost versions. Reads count only after a peer has
//! been asked since, and not while a peer has named a version above that of this instance.

use std::time::Duration;

use super::ConfigProof;
use super::ConfigTrust;
use super::FreshnessLimits;
use super::freshness_limits::without_margin;
use super::missing_versions::MissingVersions;
use crate::names::Timestamp;

/// How fresh the configuration of one instance is.
///
/// Its timestamps come from a clock that counts the time in which the process is suspended.
#[derive(Clone, Debug)]
pub struct ConfigFreshness {
    limits: FreshnessLimits,
    /// Version in effect.
    version: Option<u64>,
    /// When the call was sent by which no later version had been published.
    proven_at: Option<Timestamp>,
    missing: MissingVersions,
    /// Whether a version was read that can't be decoded.
    is_undecodable: bool,
    /// Since when a peer's answer is awaited before reads count; `None` if none is.
    awaits_peer_since: Option<Timestamp>,
    /// The last read meanwhile.
    withheld_read: Option<Timestamp>,
}

impl ConfigFreshness {
    /// Without a configuration; reads count once a peer in touch has answered or none is awaited.
    pub fn new(limits: FreshnessLimits) -> Self {
        Self {
            limits,
            version: None,
            proven_at: None,
            missing: MissingVersions::default(),
            is_undecodable: false,
            awaits_peer_since: Some(Timestamp::ZERO),
            withheld_read: None,
        }
    }

    /// Records that a whole and current read of the store, asked for at `asked_at`, was applied.
    pub fn on_read(&mut self, asked_at: Timestamp) {
        if self.version.is_none() || self.missing.highest().is_some() || self.is_undecodable {
            return;
        }
        if self.awaits_peer_since.is_some() {
            self.withheld_read = Some(asked_at);
        } else {
            self.on_proven(asked_at);
        }
    }

    /// Records the proof in the reply of a peer that was called at `asked_at`.
    pub fn on_peer_proof(&mut self, asked_at: Timestamp, proof: ConfigProof) {
        // The peer sent its proof after it was called, so the store was asked no earlier than this.
        let age = Duration::from_millis(proof.age_ms);
        let proven_at = Some(asked_at - age).filter(|at| *at > Timestamp::ZERO);
        let own = self.version;
        if own == Some(proof.version) {
            if let Some(at) = proven_at {
                self.on_proven(at);
            }
        } else if own.is_none_or(|own| proof.version > own) {
            self.missing.on_heard(proof.version, asked_at, proven_at);
            self.withheld_read = None;
        }
        // A lower version proves nothing: it is older, or that of a store that was restored.
        if self.awaits_peer_since.is_some_and(|since| self.is_answer(since, asked_at, proof)) {
            self.stop_awaiting_peer();
        }
    }

    /// Whether a peer that was called at `asked_at` answers for the fleet: it was in touch lately,
    /// or the fleet has been asked for so long that a later version would have been heard of.
    fn is_answer(&self, since: Timestamp, asked_at: Timestamp, proof: ConfigProof) -> bool {
        let in_touch =
            Duration::from_millis(proof.age_ms) < without_margin(self.limits.propagation);
        let asked_long = asked_at.since(since) >= self.limits.renewal_age();
        asked_at > since && (in_touch || (asked_long && since > Timestamp::ZERO))
    }

    /// Records that the store was restored from a copy, which may lack versions that peers have.
    pub fn on_restored(&mut self, at: Timestamp) {
        self.awaits_peer_since = Some(at);
        self.withheld_read = None;
    }

    /// Has reads count without the answer of a peer, as there is none that could answer.
    pub fn stop_awaiting_peer(&mut self) {
        self.awaits_peer_since = None;
        if let Some(asked_at) = self.withheld_read.take() {
            self.on_read(asked_at);
        }
    }

    /// Records that this version of the configuration is in effect.
    pub fn on_applied(&mut self, version: u64) {
        if self.version.is_some_and(|own| version <= own) {
            return;
        }
        self.version = Some(version);
        self.is_undecodable = false;
        if let Some(at) = self.missing.on_applied(version) {
            self.on_proven(at);
        }
    }

    /// Records that a version was read that can't be decoded, so that an earlier one stays.
    pub fn on_undecodable(&mut self) {
        self.is_undecodable = true;
    }

    /// How far the configuration in effect can be trusted.
    pub fn trust(&self, now: Timestamp) -> ConfigTrust {
        if self.version.is_none() || self.is_revocable(now) {
            return ConfigTrust::Stale;
        }
        let limit = without_margin(self.limits.propagation);
        let is_current = self.age(now).is_some_and(|age| age < limit);
        if is_current && self.missing.highest().is_none() {
            ConfigTrust::Current
        } else {
            ConfigTrust::Known
        }
    }

    /// How far the configuration can be trusted if the time isn't known.
    pub fn trust_without_clock(&self) -> ConfigTrust {
        match (self.version, self.limits.revocation) {
            (None, _) | (_, Some(_)) => ConfigTrust::Stale,
            (Some(_), None) => ConfigTrust::Known,
        }
    }

    /// Whether a key of the configuration may have been revoked longer ago than the limit.
    fn is_revocable(&self, now: Timestamp) -> bool {
        let Some(limit) = self.limits.revocation else { return false };
        let is_proof_old = self.age(now).is_none_or(|age| age >= without_margin(limit));
        let missing_for = self.missing.since().map(|since| now.since(since));
        is_proof_old || missing_for.is_some_and(|time| Some(time) > self.limits.max_missing_time())
    }

    /// Proof for a peer; one of the greatest age proves nothing and tells only the version. `None`
    /// without a configuration.
    pub fn proof(&self, now: Timestamp) -> Option<ConfigProof> {
        let version = self.version?;
        let age_ms = self.age(now).map_or(u64::MAX, |age| {
            u64::try_from(age.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
        });
        Some(ConfigProof { version, age_ms })
    }

    /// Whether this instance should read the store itself, as peers haven't renewed its proof.
    pub fn needs_read(&self, now: Timestamp) -> bool {
        let can_prove = self.awaits_peer_since.is_none() && !self.is_undecodable;
        let is_due = self.age(now).is_none_or(|age| age >= self.limits.renewal_age());
        self.version.is_some() && can_prove && is_due
    }

    /// Time since the store was asked for the state that proves the configuration; `None` without
    /// a proof.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        Some(now.since(self.proven_at?))
    }

    /// Version in effect; `None` without a configuration.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Highest version that this instance or a peer has; `None` if none is known.
    pub fn highest_version(&self) -> Option<u64> {
        self.version.max(self.missing.highest())
    }

    /// Since when a peer is known to have a higher version; `None` if none is.
    pub fn missing_since(&self) -> Option<Timestamp> {
        self.missing.since()
    }

    fn on_proven(&mut self, at: Timestamp) {
        self.proven_at = self.proven_at.max(Some(at));
    }
}

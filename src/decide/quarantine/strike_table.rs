//! The strikes that one instance knows of, and what they mean for a request.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Clearance;
use super::Fingerprint;
use super::QuarantineDecision;
use super::Strike;
use crate::names::Timestamp;

/// Time after its last strike until a request's strikes expire.
const STRIKE_MEMORY: Duration = Duration::from_secs(600);
/// Most fingerprints that are remembered, to bound memory.
const MAX_FINGERPRINTS: usize = 4096;
/// Most strikes of one fingerprint that are remembered.
const MAX_STRIKES: usize = 8;
/// Strikes with which a request is refused; with fewer it runs alone.
const MIN_STRIKES_TO_REFUSE: usize = 2;

/// What is known of one fingerprint.
#[derive(Clone, Debug)]
struct Record {
    /// Each strike, and whether it was cleared; a cleared strike that comes again stays cleared.
    strikes: BTreeMap<Strike, bool>,
    expires_at: Timestamp,
}

impl Record {
    fn active_count(&self) -> usize {
        self.strikes.values().filter(|cleared| !**cleared).count()
    }
}

/// The strikes that one instance knows of.
#[derive(Clone, Debug, Default)]
pub struct StrikeTable {
    records: BTreeMap<Fingerprint, Record>,
}

impl StrikeTable {
    /// Records a strike, seen here or reported by a peer; the same strike counts once.
    pub fn on_strike(&mut self, now: Timestamp, strike: Strike) {
        self.forget_expired(now);
        let fingerprint = strike.fingerprint;
        self.make_room(fingerprint);
        let record = self.record(now, fingerprint);
        if record.strikes.contains_key(&strike) {
            return;
        }
        if record.strikes.len() < MAX_STRIKES {
            record.strikes.insert(strike, false);
        }
        record.expires_at = now + STRIKE_MEMORY;
    }

    /// Records a clearance, made here or reported by a peer.
    pub fn on_clearance(&mut self, now: Timestamp, clearance: &Clearance) {
        self.forget_expired(now);
        for strike in &clearance.strikes {
            self.make_room(strike.fingerprint);
            let record = self.record(now, strike.fingerprint);
            if record.strikes.len() < MAX_STRIKES || record.strikes.contains_key(strike) {
                record.strikes.insert(strike.clone(), true);
            }
        }
    }

    /// Clears the strikes of a request that ran alone to its end; `None` if none counted.
    pub fn clear(&mut self, now: Timestamp, fingerprint: Fingerprint) -> Option<Clearance> {
        self.forget_expired(now);
        let record = self.records.get_mut(&fingerprint)?;
        let counted = record.strikes.iter_mut().filter(|(_, cleared)| !**cleared);
        let strikes: Vec<Strike> = counted
            .map(|(strike, cleared)| {
                *cleared = true;
                strike.clone()
            })
            .collect();
        (!strikes.is_empty()).then_some(Clearance { strikes })
    }

    /// What may be done with a request; must be asked again just before its dispatch.
    pub fn decision(&self, now: Timestamp, fingerprint: Fingerprint) -> QuarantineDecision {
        let Some(record) = self.records.get(&fingerprint) else { return QuarantineDecision::Run };
        if record.expires_at <= now {
            return QuarantineDecision::Run;
        }
        match record.active_count() {
            0 => QuarantineDecision::Run,
            strikes if strikes < MIN_STRIKES_TO_REFUSE => QuarantineDecision::Alone,
            _ => QuarantineDecision::Refuse { retry_after: record.expires_at.since(now) },
        }
    }

    /// The strikes of a fingerprint that count, to be reported to its home instance.
    pub fn strikes(&self, fingerprint: Fingerprint) -> Vec<Strike> {
        let Some(record) = self.records.get(&fingerprint) else { return Vec::new() };
        let counted = record.strikes.iter().filter(|(_, cleared)| !**cleared);
        counted.map(|(strike, _)| strike.clone()).collect()
    }

    /// How many fingerprints are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn record(&mut self, now: Timestamp, fingerprint: Fingerprint) -> &mut Record {
        let fresh = || Record { strikes: BTreeMap::new(), expires_at: now + STRIKE_MEMORY };
        self.records.entry(fingerprint).or_insert_with(fresh)
    }

    fn forget_expired(&mut self, now: Timestamp) {
        self.records.retain(|_, record| record.expires_at > now);
    }

    /// If the table is full, forgets the record with the fewest strikes, of these the oldest.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.records.len() < MAX_FINGERPRINTS || self.records.contains_key(&fingerprint) {
            return;
        }
        let least = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.active_count(), record.expires_at));
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&least);
        }
    }
}

//! Quarantine of requests that are suspected of crashing the replicas that run them.
//!
//! A request is identified by a fingerprint of its path and body. Each connection that breaks
//! while it runs adds a strike; a request with too many strikes is sent to no replica until
//! they expire.

use std::collections::HashMap;
use std::time::Duration;

use super::Strikes;
use crate::names::Timestamp;

/// Strikes from which on a request is refused.
const MAX_STRIKES: u32 = 3;
/// Time after the last strike at which all strikes of a request expire.
const STRIKE_TTL: Duration = Duration::from_secs(120);
/// Time for which a single strike is shared; it reaches all instances within a second or two.
const SINGLE_STRIKE_SHARE_TIME: Duration = Duration::from_secs(5);
/// Most fingerprints with strikes; beyond that, new strikes aren't recorded.
const CAPACITY: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Record {
    count: u32,
    expires: Timestamp,
}

/// Strikes by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct CrashGuard {
    strikes: HashMap<u64, Record>,
}

impl CrashGuard {
    /// Adds a strike; returns how many there are now.
    pub fn strike(&mut self, now: Timestamp, fingerprint: u64) -> u32 {
        let count = self.count(now, fingerprint).saturating_add(1);
        self.set(now, fingerprint, count, STRIKE_TTL);
        count
    }

    /// Adopts a peer's strikes if they are more, with their age, so that they expire everywhere.
    pub fn on_peer_strikes(&mut self, now: Timestamp, strikes: &Strikes) {
        let Strikes { fingerprint, count, age_ms } = *strikes;
        let left = STRIKE_TTL.saturating_sub(Duration::from_millis(age_ms));
        if count > self.count(now, fingerprint) {
            self.set(now, fingerprint, count, left);
        }
    }

    /// Whether a request with this fingerprint must not be sent to a replica.
    pub fn refuses(&self, now: Timestamp, fingerprint: u64) -> bool {
        self.count(now, fingerprint) >= MAX_STRIKES
    }

    /// Fingerprints with strikes that haven't expired, and how many, to share with peers; those with
    /// a single strike only while it is new, as most of these come from failures of other causes.
    pub fn active_strikes(&self, now: Timestamp) -> Vec<Strikes> {
        let age = |record: &Record| STRIKE_TTL.saturating_sub(record.expires.since(now));
        let is_shared = |record: &Record| {
            let ttl = if record.count > 1 { STRIKE_TTL } else { SINGLE_STRIKE_SHARE_TIME };
            age(record) < ttl
        };
        let shared = self.strikes.iter().filter(|(_, record)| is_shared(record));
        shared
            .map(|(fingerprint, record)| Strikes {
                fingerprint: *fingerprint,
                count: record.count,
                age_ms: u64::try_from(age(record).as_millis()).unwrap_or(u64::MAX),
            })
            .collect()
    }

    fn count(&self, now: Timestamp, fingerprint: u64) -> u32 {
        let record = self.strikes.get(&fingerprint);
        record.filter(|record| now < record.expires).map_or(0, |record| record.count)
    }

    fn set(&mut self, now: Timestamp, fingerprint: u64, count: u32, left: Duration) {
        if self.strikes.len() >= CAPACITY {
            self.strikes.retain(|_, record| now < record.expires);
        }
        if self.strikes.len() < CAPACITY {
            self.strikes.insert(fingerprint, Record { count, expires: now + left });
        }
    }
}

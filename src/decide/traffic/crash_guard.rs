//! Quarantine of requests that are suspected of crashing the replicas that run them.
//!
//! A request is identified by a fingerprint of its path and body. Each connection that breaks
//! while it runs adds a strike; a request with too many strikes is sent to no replica until
//! they expire.

use std::collections::HashMap;
use std::time::Duration;

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
struct Strikes {
    count: u32,
    last: Timestamp,
}

/// Strikes by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct CrashGuard {
    strikes: HashMap<u64, Strikes>,
}

impl CrashGuard {
    /// Adds a strike; returns how many there are now.
    pub fn strike(&mut self, now: Timestamp, fingerprint: u64) -> u32 {
        let count = self.count(now, fingerprint) + 1;
        self.set(now, fingerprint, count);
        count
    }

    /// Adopts a peer's count of strikes if it is higher.
    pub fn on_peer_count(&mut self, now: Timestamp, fingerprint: u64, count: u32) {
        if count > self.count(now, fingerprint) {
            self.set(now, fingerprint, count);
        }
    }

    /// Whether a request with this fingerprint must not be sent to a replica.
    pub fn refuses(&self, now: Timestamp, fingerprint: u64) -> bool {
        self.count(now, fingerprint) >= MAX_STRIKES
    }

    /// Fingerprints with strikes that haven't expired, and how many, to share with peers; those with
    /// a single strike only while it is new, as most of these come from failures of other causes.
    pub fn active_strikes(&self, now: Timestamp) -> Vec<(u64, u32)> {
        let is_shared = |s: &Strikes| {
            let ttl = if s.count > 1 { STRIKE_TTL } else { SINGLE_STRIKE_SHARE_TIME };
            now.since(s.last) < ttl
        };
        let shared = self.strikes.iter().filter(|(_, s)| is_shared(s));
        shared.map(|(fingerprint, s)| (*fingerprint, s.count)).collect()
    }

    fn count(&self, now: Timestamp, fingerprint: u64) -> u32 {
        let strikes = self.strikes.get(&fingerprint);
        strikes.filter(|s| now.since(s.last) < STRIKE_TTL).map_or(0, |s| s.count)
    }

    fn set(&mut self, now: Timestamp, fingerprint: u64, count: u32) {
        if self.strikes.len() >= CAPACITY {
            self.strikes.retain(|_, s| now.since(s.last) < STRIKE_TTL);
        }
        if self.strikes.len() < CAPACITY {
            self.strikes.insert(fingerprint, Strikes { count, last: now });
        }
    }
}

//! Requests that are suspected of crashing the replicas that run them.
//!
//! A request is known by a fingerprint of its path and body. Each connection that
//! broke while it ran adds a strike; a request with too many strikes reaches no
//! replica for a while.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::Timestamp;

/// Strikes from which on a request is refused.
const MAX_STRIKES: u32 = 3;
/// Time for which strikes are remembered.
const MEMORY: Duration = Duration::from_secs(120);
/// Fingerprints that are remembered.
const CAPACITY: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Strikes {
    count: u32,
    last: Timestamp,
}

/// Strikes of suspected requests.
#[derive(Clone, Debug, Default)]
pub struct CrashGuard {
    strikes: HashMap<u64, Strikes>,
}

impl CrashGuard {
    /// Adds a strike and returns how many there are.
    pub fn strike(&mut self, now: Timestamp, fingerprint: u64) -> u32 {
        let count = self.count(now, fingerprint) + 1;
        self.set(now, fingerprint, count);
        count
    }

    /// Takes a peer's count.
    pub fn on_peer_count(&mut self, now: Timestamp, fingerprint: u64, count: u32) {
        if count > self.count(now, fingerprint) {
            self.set(now, fingerprint, count);
        }
    }

    /// Whether the request must not reach a replica.
    pub fn refuses(&self, now: Timestamp, fingerprint: u64) -> bool {
        self.count(now, fingerprint) >= MAX_STRIKES
    }

    /// Strikes to tell peers of.
    pub fn active_strikes(&self, now: Timestamp) -> Vec<(u64, u32)> {
        let fresh = self.strikes.iter().filter(|(_, s)| now.since(s.last) < MEMORY);
        fresh.map(|(fingerprint, s)| (*fingerprint, s.count)).collect()
    }

    fn count(&self, now: Timestamp, fingerprint: u64) -> u32 {
        let strikes = self.strikes.get(&fingerprint);
        strikes.filter(|s| now.since(s.last) < MEMORY).map_or(0, |s| s.count)
    }

    fn set(&mut self, now: Timestamp, fingerprint: u64, count: u32) {
        if self.strikes.len() >= CAPACITY {
            self.strikes.retain(|_, s| now.since(s.last) < MEMORY);
        }
        if self.strikes.len() < CAPACITY {
            self.strikes.insert(fingerprint, Strikes { count, last: now });
        }
    }
}

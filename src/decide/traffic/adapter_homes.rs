//! How many replicas should hold an adapter, by demand.
//!
//! The replicas are ranked for each adapter by rendezvous hashing; the homes of the adapter are
//! the first ones, and its width is their number. A rare adapter has one home. If every holder
//! that a request probes is busy with the adapter, the width doubles; it is halved again while
//! that doesn't happen. Instances tell each other the width in the calls that they make anyway.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::AdapterKey;
use crate::names::Timestamp;

/// A width is halved each time that this passes without its being widened.
const NARROW_AFTER: Duration = Duration::from_secs(4);
/// Ranks that a request for a rare adapter probes, since it may be held away from its home.
const RARE_PROBES: usize = 3;
/// Ranks that a request for an adapter with several homes probes, besides the first one.
const PROBES: usize = 2;
/// Weight of a new sample in the moving average of a replica's requests.
const TYPICAL_WEIGHT: f64 = 0.05;
/// Most adapters with a width that is tracked.
const MAX_WIDTHS: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Width {
    width: usize,
    last_widened: Timestamp,
}

/// Widths of the adapters that need more than one home.
#[derive(Clone, Debug, Default)]
pub struct AdapterHomes {
    widths: HashMap<AdapterKey, Width>,
    /// Exponential moving average of the number of requests at a replica.
    typical: Option<f64>,
}

impl AdapterHomes {
    /// Number of replicas that should hold an adapter; at least 1.
    pub fn width(&self, now: Timestamp, key: &AdapterKey) -> usize {
        let Some(known) = self.widths.get(key) else { return 1 };
        let halvings = now.since(known.last_widened).as_millis() / NARROW_AFTER.as_millis();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        known.width.checked_shr(halvings).unwrap_or(0).max(1)
    }

    /// Ranks of the homes that a request probes, in turn; `pick` is a hash.
    ///
    /// Of several homes it takes the two that rank first for `pick`, and then the first home if it
    /// isn't among them. When the width changes, most values of `pick` keep their homes, so prompts
    /// that begin alike find them read.
    pub fn probe_order(
        &self,
        now: Timestamp,
        key: &AdapterKey,
        replicas: usize,
        pick: u64,
    ) -> Vec<usize> {
        let width = self.width(now, key).min(replicas);
        if width <= 1 {
            return (0..RARE_PROBES.min(replicas)).collect();
        }
        let mut ranked: Vec<(u64, usize)> =
            (0..width).map(|home| (score_for(pick, home), home)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let mut probes: Vec<usize> = ranked.iter().take(PROBES).map(|(_, home)| *home).collect();
        if !probes.contains(&0) {
            probes.push(0);
        }
        probes
    }

    /// Doubles the width, as every holder that a request probed was busy with the adapter; returns
    /// the rank of a home that is new, or of any if the width can't grow.
    pub fn widen(&mut self, now: Timestamp, key: &AdapterKey, replicas: usize, pick: u64) -> usize {
        let width = self.width(now, key);
        let wider = width.saturating_mul(2).min(replicas.max(1));
        self.set(now, key, wider);
        if wider > width { width + pick as usize % (wider - width) } else { pick as usize % wider }
    }

    /// Adopts the width that another instance knows if it is larger.
    pub fn on_peer_width(&mut self, now: Timestamp, key: &AdapterKey, width: usize) {
        if width > self.width(now, key) {
            self.set(now, key, width);
        }
    }

    /// Adds a sample of the number of requests at some replica.
    pub fn on_replica_requests(&mut self, requests: u32) {
        let sample = f64::from(requests);
        let typical = self.typical.unwrap_or(sample);
        self.typical = Some(typical + (sample - typical) * TYPICAL_WEIGHT);
    }

    /// Number of requests that a replica typically has; 0 before the first sample.
    pub fn typical_requests(&self) -> f64 {
        self.typical.unwrap_or_default()
    }

    fn set(&mut self, now: Timestamp, key: &AdapterKey, width: usize) {
        if self.widths.len() >= MAX_WIDTHS {
            let narrow = |known: &Width| now.since(known.last_widened) >= NARROW_AFTER;
            self.widths.retain(|_, known| !narrow(known));
        }
        if self.widths.len() < MAX_WIDTHS || self.widths.contains_key(key) {
            self.widths.insert(key.clone(), Width { width, last_widened: now });
        }
    }
}

/// Score of a home for a request with the hash `pick`.
fn score_for(pick: u64, home: usize) -> u64 {
    xxh3_64_with_seed(&home.to_le_bytes(), pick)
}

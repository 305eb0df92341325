//! How many replicas should hold an adapter.
//!
//! Each adapter ranks the replicas in an order of its own, and its homes are the first of
//! them. A rare adapter has one home. Where the homes that a request looks at are all
//! crowded with it, their number doubles; it falls again when nobody finds them crowded.
//! Instances tell each other the number with the calls that they make anyway.

use std::collections::HashMap;
use std::time::Duration;

use super::AdapterKey;
use crate::names::Timestamp;

/// Time without crowded homes after which their number is halved.
const NARROW_AFTER: Duration = Duration::from_secs(4);
/// Homes that a request for a rare adapter looks at: it may be held away from its first home.
const RARE_LOOKS: usize = 3;
/// Weight of the newest number of requests among those heard of.
const TYPICAL_WEIGHT: f64 = 0.05;
/// Adapters with several homes that are remembered.
const MAX_KNOWN: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Width {
    width: usize,
    widened: Timestamp,
}

/// How many replicas should hold each adapter that needs more than one.
#[derive(Clone, Debug, Default)]
pub struct AdapterHomes {
    widths: HashMap<AdapterKey, Width>,
    /// Requests of a replica, averaged over what was heard of late.
    typical: Option<f64>,
}

impl AdapterHomes {
    /// Replicas that should hold an adapter; at least 1.
    pub fn width(&self, now: Timestamp, key: &AdapterKey) -> usize {
        let Some(known) = self.widths.get(key) else { return 1 };
        let halvings = now.since(known.widened).as_millis() / NARROW_AFTER.as_millis();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        known.width.checked_shr(halvings).unwrap_or(0).max(1)
    }

    /// The homes, by their rank, that a request looks at in turn; `pick` is a random number.
    pub fn probe_order(
        &self,
        now: Timestamp,
        key: &AdapterKey,
        replicas: usize,
        pick: u64,
    ) -> Vec<usize> {
        let width = self.width(now, key).min(replicas);
        if width <= 1 {
            return (0..RARE_LOOKS.min(replicas)).collect();
        }
        let one = (pick >> 32) as usize % width;
        let step = 1 + pick as u32 as usize % (width - 1);
        let mut looks = vec![one, (one + step) % width];
        if !looks.contains(&0) {
            looks.push(0);
        }
        looks
    }

    /// Notes that the homes that a request looked at were crowded; returns a further one.
    pub fn widen(&mut self, now: Timestamp, key: &AdapterKey, replicas: usize, pick: u64) -> usize {
        let width = self.width(now, key);
        let wider = (width * 2).min(replicas.max(1));
        self.set(now, key, wider);
        if wider > width { width + pick as usize % (wider - width) } else { pick as usize % wider }
    }

    /// Takes the number that another instance knows.
    pub fn on_peer_width(&mut self, now: Timestamp, key: &AdapterKey, width: usize) {
        if width > self.width(now, key) {
            self.set(now, key, width);
        }
    }

    /// Notes how many requests some replica has.
    pub fn on_replica_requests(&mut self, requests: u32) {
        let heard = f64::from(requests);
        let typical = self.typical.unwrap_or(heard);
        self.typical = Some(typical + (heard - typical) * TYPICAL_WEIGHT);
    }

    /// Requests that a replica has, typically.
    pub fn typical_requests(&self) -> f64 {
        self.typical.unwrap_or_default()
    }

    fn set(&mut self, now: Timestamp, key: &AdapterKey, width: usize) {
        if self.widths.len() >= MAX_KNOWN {
            let narrow = |known: &Width| now.since(known.widened) >= NARROW_AFTER;
            self.widths.retain(|_, known| !narrow(known));
        }
        if self.widths.len() < MAX_KNOWN || self.widths.contains_key(key) {
            self.widths.insert(key.clone(), Width { width, widened: now });
        }
    }
}

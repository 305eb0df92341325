//! One process of the model.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::config_freshness::ConfigFreshness;
use tamaracklead::decide::config_freshness::FreshnessLimits;

pub const REVOCATION_MS: u64 = 5000;
pub const PROPAGATION_MS: u64 = 3000;
/// Interval between rounds of gossip.
pub const ROUND_MS: u64 = 350;

/// One process.
#[derive(Clone, Debug)]
pub struct Instance {
    pub freshness: ConfigFreshness,
    pub started: u64,
    pub version: Option<u64>,
    pub era: u64,
    pub was_listed: bool,
    /// Until when the pending read is awaited.
    pub reading_until: Option<u64>,
    pub next_read: u64,
    pub next_round: u64,
    pub needs_read_since: Option<u64>,
    pub paused_ms: u64,
    pub was_paused_until: u64,
    pub rate: f64,
    pub offset: f64,
    pub joined: bool,
    pub trouble_until: u64,
}

fn limits() -> FreshnessLimits {
    FreshnessLimits {
        revocation: Some(Duration::from_millis(REVOCATION_MS)),
        propagation: Duration::from_millis(PROPAGATION_MS),
    }
}

impl Instance {
    /// A process that starts at `ms`.
    pub fn new(ms: u64, rng: &mut ChaCha8Rng) -> Self {
        Self {
            freshness: ConfigFreshness::new(limits()),
            started: ms,
            version: None,
            era: 0,
            was_listed: false,
            reading_until: None,
            next_read: ms + rng.random_range(0..50),
            next_round: ms + rng.random_range(0..ROUND_MS),
            needs_read_since: None,
            paused_ms: 0,
            was_paused_until: 0,
            rate: rng.random_range(0.985..1.015),
            offset: rng.random_range(1e5..1e7),
            joined: false,
            trouble_until: ms,
        }
    }
}

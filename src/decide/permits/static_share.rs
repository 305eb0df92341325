//! Fallback rate limit of an owner that can't reach the permit issuer.

use std::time::Duration;

use super::StoreLimits;
use crate::names::Timestamp;

/// One instance's equal share of the store's rate.
///
/// The shares of all instances add up to the rate, so a fleet that is partitioned in
/// any way stays within it. The burst is one load.
#[derive(Clone, Copy, Debug)]
pub struct StaticShare {
    next: Timestamp,
}

impl StaticShare {
    /// Creates a share whose first load is allowed one interval after `now`.
    pub fn new(now: Timestamp, limits: &StoreLimits, instances: usize) -> Self {
        Self { next: now + Self::interval(limits, instances) }
    }

    /// Takes one load from the share; returns whether it allows one now.
    pub fn take(&mut self, now: Timestamp, limits: &StoreLimits, instances: usize) -> bool {
        let allowed = now >= self.next;
        if allowed {
            self.next = now + Self::interval(limits, instances);
        }
        allowed
    }

    fn interval(limits: &StoreLimits, instances: usize) -> Duration {
        let instances = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
        limits.interval().saturating_mul(instances)
    }
}

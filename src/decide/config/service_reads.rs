//! When one instance reads the root of the configuration service.

use std::time::Duration;

use rand::Rng;

use super::Backoff;
use super::ServiceHealth;
use crate::names::Timestamp;

/// Time that a watch waits for a higher generation.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Mean time between an instance's own slow checks.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(60);
/// Share of the interval by which a slow check may come earlier or later.
pub const CHECK_JITTER: f64 = 0.2;
/// Shortest time between the starts of two calls, should a watch not wait.
const MIN_GAP: Duration = Duration::from_secs(1);
/// Time after which a call without an answer counts as failed.
const CALL_LIMIT: Duration = Duration::from_secs(15);

/// A read of the service's root.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceCall {
    /// A plain read.
    Check(u64),
    /// A watch for a higher generation.
    Watch(u64),
}

/// Calls of one instance: at most one at a time.
#[derive(Clone, Debug)]
pub struct ServiceReads {
    serial: u64,
    outstanding: Option<Timestamp>,
    next_check: Timestamp,
    not_before: Timestamp,
    backoff: Backoff,
    asked: bool,
    health: ServiceHealth,
}

impl ServiceReads {
    /// A schedule whose first check is due at once.
    pub fn new(now: Timestamp) -> Self {
        Self {
            serial: 0,
            outstanding: None,
            next_check: now,
            not_before: now,
            backoff: Backoff::default(),
            asked: false,
            health: ServiceHealth::Current,
        }
    }

    /// Whether a call has ended since the start or the last pause.
    pub fn asked(&self) -> bool {
        self.asked
    }

    /// State of the service after the last call.
    pub fn health(&self) -> ServiceHealth {
        self.health
    }

    /// Makes a check due at once; answers of earlier calls no longer count.
    pub fn restart(&mut self, now: Timestamp) {
        self.serial += 1;
        self.outstanding = None;
        self.next_check = now;
        self.not_before = now;
        self.asked = false;
    }

    /// The call to make now, if any; `applied` says that a configuration is in effect.
    pub fn next_call<R: Rng>(
        &mut self,
        now: Timestamp,
        watching: bool,
        applied: bool,
        rng: &mut R,
    ) -> Option<ServiceCall> {
        if self.outstanding.is_some() || now < self.not_before {
            return None;
        }
        // Without a generation to watch from, a reader polls.
        let check_due = now >= self.next_check || (watching && !applied);
        if !check_due && !watching {
            return None;
        }
        self.serial += 1;
        self.outstanding = Some(now);
        if !check_due {
            return Some(ServiceCall::Watch(self.serial));
        }
        let jitter = rng.random_range(1.0 - CHECK_JITTER..1.0 + CHECK_JITTER);
        self.next_check = now + CHECK_INTERVAL.mul_f64(jitter);
        Some(ServiceCall::Check(self.serial))
    }

    /// Whether the outstanding call has taken too long.
    pub fn overdue(&self, now: Timestamp) -> bool {
        self.outstanding.is_some_and(|since| now.since(since) >= CALL_LIMIT)
    }

    /// Number of the last call.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Takes the end of a call; returns the service's state if it has changed.
    pub fn on_end<R: Rng>(
        &mut self,
        now: Timestamp,
        call: u64,
        health: ServiceHealth,
        rng: &mut R,
    ) -> Option<ServiceHealth> {
        if call != self.serial || self.outstanding.is_none() {
            return None;
        }
        let started = self.outstanding.take().unwrap_or(now);
        self.asked = true;
        self.not_before = started + MIN_GAP;
        match health {
            ServiceHealth::Unreachable => self.not_before = now + self.backoff.on_failure(rng),
            ServiceHealth::Current | ServiceHealth::Stale => self.backoff.on_success(),
        }
        let changed = health != self.health;
        self.health = health;
        changed.then_some(health)
    }
}

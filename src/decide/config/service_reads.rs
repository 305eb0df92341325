//! Schedule of one instance's reads of the root from the configuration service.

use std::time::Duration;

use rand::Rng;

use super::Backoff;
use super::ServiceHealth;
use crate::names::Timestamp;

/// Longest time that the service holds a long poll.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Mean interval between an instance's polls, whether or not it watches.
pub const POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Fraction of the interval by which a poll may come earlier or later.
pub const POLL_JITTER: f64 = 0.2;
/// Shortest time between the starts of two calls, in case a long poll returns at once.
const MIN_CALL_SPACING: Duration = Duration::from_secs(1);
/// Time without a reply after which a call counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// A read of the service's root, with its call number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceCall {
    /// A read that returns at once.
    Poll(u64),
    /// A long poll for a higher generation.
    Watch(u64),
}

/// Call schedule of one instance, with at most one call at a time.
#[derive(Clone, Debug)]
pub struct ServiceReads {
    last_call: u64,
    outstanding: Option<Timestamp>,
    next_poll: Timestamp,
    not_before: Timestamp,
    backoff: Backoff,
    has_called: bool,
    health: ServiceHealth,
}

impl ServiceReads {
    /// Creates a schedule whose first poll is due at once.
    pub fn new(now: Timestamp) -> Self {
        Self {
            last_call: 0,
            outstanding: None,
            next_poll: now,
            not_before: now,
            backoff: Backoff::default(),
            has_called: false,
            health: ServiceHealth::Current,
        }
    }

    /// Whether a call has ended, also by failure, since the start or the last pause.
    pub fn has_called(&self) -> bool {
        self.has_called
    }

    /// Health of the service after the last call.
    pub fn health(&self) -> ServiceHealth {
        self.health
    }

    /// Makes a poll due at once; replies to earlier calls are ignored from now on.
    pub fn restart(&mut self, now: Timestamp) {
        self.last_call += 1;
        self.outstanding = None;
        self.next_poll = now;
        self.not_before = now;
        self.has_called = false;
    }

    /// Starts the call that is due, if any; `applied` says whether a configuration is in effect.
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
        // Without a generation to wait above, a reader polls.
        let poll_due = now >= self.next_poll || (watching && !applied);
        if !poll_due && !watching {
            return None;
        }
        self.last_call += 1;
        self.outstanding = Some(now);
        if !poll_due {
            return Some(ServiceCall::Watch(self.last_call));
        }
        let jitter = rng.random_range(1.0 - POLL_JITTER..1.0 + POLL_JITTER);
        self.next_poll = now + POLL_INTERVAL.mul_f64(jitter);
        Some(ServiceCall::Poll(self.last_call))
    }

    /// Whether the outstanding call has timed out.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        self.outstanding.is_some_and(|since| now.since(since) >= CALL_TIMEOUT)
    }

    /// Number of the last call.
    pub fn last_call(&self) -> u64 {
        self.last_call
    }

    /// Handles the end of a call; returns the service's health if it has changed.
    pub fn on_call_ended<R: Rng>(
        &mut self,
        now: Timestamp,
        call: u64,
        health: ServiceHealth,
        rng: &mut R,
    ) -> Option<ServiceHealth> {
        if call != self.last_call || self.outstanding.is_none() {
            return None;
        }
        let started = self.outstanding.take().unwrap_or(now);
        self.has_called = true;
        self.not_before = started + MIN_CALL_SPACING;
        match health {
            ServiceHealth::Unreachable => self.not_before = now + self.backoff.on_failure(rng),
            ServiceHealth::Current | ServiceHealth::Stale => self.backoff.on_success(),
        }
        let changed = health != self.health;
        self.health = health;
        changed.then_some(health)
    }
}

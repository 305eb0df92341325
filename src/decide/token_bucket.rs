//! Token bucket that starts empty and may go into debt.

use std::time::Duration;

use crate::names::Timestamp;

/// Bucket that fills at a rate, up to a capacity.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    level: f64,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// An empty bucket that gains `rate` tokens per second from now on.
    pub fn new(now: Timestamp, rate: f64, capacity: f64) -> Self {
        Self { rate, capacity, level: 0.0, filled_at: now }
    }

    /// Changes rate and capacity; what it holds is kept as far as the capacity allows.
    pub fn set_limits(&mut self, now: Timestamp, rate: f64, capacity: f64) {
        self.fill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Tokens that it holds; below 0 if it is in debt.
    pub fn level(&mut self, now: Timestamp) -> f64 {
        self.fill(now);
        self.level
    }

    /// Tokens that it holds at most.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Takes tokens, also if that leads into debt.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Time until it holds `level` tokens; `max` if that takes longer or never happens.
    pub fn time_to(&mut self, now: Timestamp, level: f64, max: Duration) -> Duration {
        self.fill(now);
        let missing = level - self.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        if level > self.capacity {
            return max;
        }
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(max).min(max)
    }

    /// Empties it; a debt is kept.
    pub fn drain(&mut self, now: Timestamp) {
        self.filled_at = now;
        self.level = self.level.min(0.0);
    }

    fn fill(&mut self, now: Timestamp) {
        let gained = now.since(self.filled_at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.capacity);
        self.filled_at = self.filled_at.max(now);
    }
}

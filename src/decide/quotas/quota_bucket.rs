//! What one account may still use, over all instances, and who borrows it.

use std::collections::HashMap;
use std::time::Duration;

use super::LoanAsk;
use super::LoanReply;
use crate::decide::accounts::Quota;
use crate::decide::token_bucket::TokenBucket;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// Largest debt of a bucket, in units of the quota: about the cost of the largest requests. A new counting
/// instance may begin with a debt of its own, so that a window may have two.
const MAX_DEBT: f64 = 50_000.0;
/// Time whose rate the bucket holds beyond the burst, in seconds. Without it, an
/// account whose burst is only a few requests is refused some of them although it stays within its rate.
const EXTRA_BURST_S: f64 = 0.4;
/// Largest rate and burst that are counted with.
const MAX_LIMIT: f64 = 1e15;
/// Part of the capacity that isn't lent ahead of demand, so that requests find it.
const RESERVED_PART: f64 = 0.25;
/// Number of the largest requests for which the same holds. Without it, loans
/// that nobody uses take up the quota of a small account.
const RESERVED_REQUESTS: f64 = 4.0;
/// Time for which it counts what a borrower stated.
const STATED_TTL: Duration = Duration::from_secs(2);
/// Time after a refusal in which the account is shared out by stated demand.
const SCARCE_TIME: Duration = Duration::from_secs(2);
/// Time ahead for which a borrower gets its part of a scarce quota, in seconds.
const SCARCE_AHEAD_S: f64 = 0.5;
/// Number of the largest requests that such a part must cover. Otherwise small
/// requests use it up before large ones are admitted.
const SCARCE_AHEAD_REQUESTS: f64 = 8.0;
/// Asks per second of all borrowers of a scarce account.
const SCARCE_ASKS_PER_S: f64 = 400.0;
/// Shortest time until the next ask after a refusal.
const MIN_WAIT: Duration = Duration::from_millis(5);
/// Longest time until the next ask after a refusal, to borrowers that ask for little.
const MAX_SPREAD: Duration = Duration::from_secs(1);
/// Longest time until the next ask of all.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Time constant of the decayed use, in seconds.
const USE_MEMORY_S: f64 = 3.0;

#[derive(Clone, Copy, Debug)]
struct Stated {
    wanted: f64,
    at: Timestamp,
}

/// Bucket of one account.
#[derive(Clone, Debug)]
pub struct QuotaBucket {
    bucket: TokenBucket,
    rate: f64,
    borrowers: HashMap<InstanceName, Stated>,
    refused_at: Option<Timestamp>,
    /// Whether the last loan of the scarce account was a part of it.
    lends_parts: bool,
    /// Largest need that was stated lately.
    largest: Stated,
    /// Sum of what was lent or refused, faded over [`USE_MEMORY_S`].
    used: f64,
    used_at: Timestamp,
}

impl QuotaBucket {
    /// A bucket that has been filling since `since`, from zero on.
    pub fn new(now: Timestamp, since: Timestamp, quota: &Quota, share: f64) -> Self {
        let (rate, capacity) = limits(quota, share);
        Self {
            bucket: TokenBucket::new(since, rate, capacity),
            rate,
            borrowers: HashMap::new(),
            refused_at: None,
            lends_parts: false,
            largest: Stated { wanted: 0.0, at: now },
            used: 0.0,
            used_at: now,
        }
    }

    /// Decides on an ask, by the quota as it is now.
    pub fn ask(
        &mut self,
        now: Timestamp,
        user: &InstanceName,
        quota: &Quota,
        share: f64,
        ask: &LoanAsk,
    ) -> LoanReply {
        let (rate, capacity) = limits(quota, share);
        self.bucket.set_limits(now, rate, capacity);
        self.rate = rate;
        let needed = ask.needed as f64;
        let wanted = needed.max(ask.wanted as f64);
        self.state(now, user, needed, wanted);
        let level = self.bucket.level(now);
        let debt_until = (needed - MAX_DEBT).max(f64::MIN_POSITIVE);
        if needed > 0.0 && level < debt_until {
            self.refused_at = Some(now);
            self.count(now, needed);
            return LoanReply {
                granted: 0,
                wait_ms: self.wait(now, debt_until, wanted).as_millis() as u64,
                utilisation: self.utilisation(),
            };
        }
        let ahead = self.ahead(now, level, needed, wanted);
        let granted = ask.needed.saturating_add(ahead as u64);
        self.bucket.take(granted as f64);
        self.count(now, granted as f64);
        LoanReply { granted, wait_ms: 0, utilisation: self.utilisation() }
    }

    /// Whether a bucket that is made anew would hold the same.
    pub fn is_unneeded(&mut self, now: Timestamp) -> bool {
        self.borrowers.retain(|_, stated| now.since(stated.at) < STATED_TTL);
        self.borrowers.is_empty() && self.bucket.level(now) >= self.bucket.capacity()
    }

    /// What is lent beyond the need: never from a debt, and of a scarce account only a part that
    /// covers its largest requests as well, since small ones would use up any less before them.
    fn ahead(&mut self, now: Timestamp, level: f64, needed: f64, wanted: f64) -> f64 {
        let of_capacity = self.bucket.capacity() * RESERVED_PART;
        let reserved = of_capacity.max(self.largest.wanted * RESERVED_REQUESTS);
        if !self.is_scarce(now) {
            return (wanted - needed).min(level - needed - reserved).max(0.0);
        }
        let fraction = wanted / self.total_wanted().max(wanted);
        let part = (self.rate * SCARCE_AHEAD_S).min(level) * fraction;
        let ahead = (part.min(wanted) - needed).min(level - needed).max(0.0);
        self.lends_parts = ahead >= SCARCE_AHEAD_REQUESTS * self.largest.wanted;
        if self.lends_parts { ahead } else { 0.0 }
    }

    /// Time until the next ask, which bounds the asks of all borrowers together, however many they
    /// are. Where each gets only what it needs, it asks as often as corresponds to what it wants.
    fn wait(&mut self, now: Timestamp, level: f64, wanted: f64) -> Duration {
        let parts = match self.lends_parts {
            true => self.borrowers.len() as f64,
            false => self.total_wanted() / wanted.max(1.0),
        };
        let spread = Duration::try_from_secs_f64(parts / SCARCE_ASKS_PER_S).unwrap_or(MAX_SPREAD);
        let refilled = self.bucket.time_to(now, level, MAX_WAIT);
        refilled.max(spread.min(MAX_SPREAD)).max(MIN_WAIT)
    }

    fn state(&mut self, now: Timestamp, user: &InstanceName, needed: f64, wanted: f64) {
        self.borrowers.retain(|_, stated| now.since(stated.at) < STATED_TTL);
        self.borrowers.insert(user.clone(), Stated { wanted, at: now });
        if needed >= self.largest.wanted || now.since(self.largest.at) >= STATED_TTL {
            self.largest = Stated { wanted: needed, at: now };
        }
    }

    fn total_wanted(&self) -> f64 {
        self.borrowers.values().map(|stated| stated.wanted).sum()
    }

    fn is_scarce(&self, now: Timestamp) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < SCARCE_TIME)
    }

    fn count(&mut self, now: Timestamp, amount: f64) {
        let past_s = now.since(self.used_at).as_secs_f64();
        self.used = self.used * (-past_s / USE_MEMORY_S).exp() + amount;
        self.used_at = now;
    }

    fn utilisation(&self) -> f32 {
        (self.used / USE_MEMORY_S / self.rate.max(f64::MIN_POSITIVE)).min(f64::from(f32::MAX))
            as f32
    }
}

/// Rate and capacity of a bucket for a part of a quota.
pub fn limits(quota: &Quota, share: f64) -> (f64, f64) {
    let rate = counted(quota.rate);
    let capacity = counted(quota.burst) + rate * EXTRA_BURST_S;
    let share = if share.is_nan() { 0.0 } else { share.clamp(0.0, 1.0) };
    (rate * share, capacity * share)
}

fn counted(limit: f64) -> f64 {
    if limit.is_nan() { 0.0 } else { limit.clamp(0.0, MAX_LIMIT) }
}

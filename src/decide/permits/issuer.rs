//! The permit issuer of one weight store: rate limit, priority queue and adaptive concurrency.

use std::collections::BTreeMap;
use std::time::Duration;

use super::PermitKey;
use super::StoreLimits;
use super::Urgency;
use crate::names::Timestamp;

/// Time after which a granted load counts as ended if its end wasn't reported.
const GRANT_EXPIRY: Duration = Duration::from_secs(10);
/// Time after which a permit request that wasn't repeated is dropped.
const REQUEST_EXPIRY: Duration = Duration::from_secs(10);

/// Weight of the latest load in the moving average of load times.
const LOAD_TIME_EWMA_WEIGHT: f64 = 0.3;
/// Multiple of the full-speed load time above which a load counts as slow.
const SLOW_LOAD_FACTOR: f64 = 2.0;

/// Permit requests and granted permits of one store.
///
/// Nobody announces that a store has become slower than its limits say. The issuer
/// detects it from the load times and adapts the number of loads in flight by
/// additive increase and multiplicative decrease (AIMD): each slow load halves it,
/// each other one raises it by one. So loads queue here, where they can be ordered
/// by urgency, and not in the store.
#[derive(Clone, Debug)]
pub struct PermitIssuer {
    limits: StoreLimits,
    next_grant: Timestamp,
    pending: BTreeMap<PermitKey, PendingRequest>,
    granted: BTreeMap<PermitKey, Timestamp>,
    window: usize,
    load_time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    urgency: Urgency,
    since: Timestamp,
    last_repeated: Timestamp,
}

impl PermitIssuer {
    /// Creates an issuer that grants nothing before `now`.
    pub fn new(now: Timestamp, limits: StoreLimits) -> Self {
        Self {
            limits,
            next_grant: now,
            pending: BTreeMap::new(),
            granted: BTreeMap::new(),
            window: limits.in_flight,
            load_time: limits.load_time,
        }
    }

    /// Changes the limits; the current window is kept until the next load ends.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        self.limits = limits;
    }

    /// Handles a permit request; a repeated one updates its urgency and keeps its age.
    pub fn on_permit_request(&mut self, now: Timestamp, key: PermitKey, urgency: Urgency) {
        let since = self.pending.get(&key).map_or(now, |request| request.since);
        self.pending.insert(key, PendingRequest { urgency, since, last_repeated: now });
    }

    /// Handles a withdrawn request, or the return of a permit whose load ended or wasn't begun.
    ///
    /// A permit returned in less than half the full-speed load time changes neither the window
    /// nor the moving average.
    pub fn on_ended(&mut self, now: Timestamp, key: &PermitKey) {
        self.pending.remove(key);
        let Some(since) = self.granted.remove(key) else { return };
        let took = now.since(since);
        if took < self.limits.load_time / 2 {
            return;
        }
        self.load_time = self.load_time.mul_f64(1.0 - LOAD_TIME_EWMA_WEIGHT)
            + took.mul_f64(LOAD_TIME_EWMA_WEIGHT);
        if took > self.limits.load_time.mul_f64(SLOW_LOAD_FACTOR) {
            self.window = (self.window / 2).max(1);
        } else {
            self.window = (self.window + 1).min(self.limits.in_flight);
        }
    }

    /// Grants as many permits as the limits allow now, most urgent first, then oldest first.
    pub fn grant(&mut self, now: Timestamp) -> Vec<PermitKey> {
        self.granted.retain(|_, since| now.since(*since) < GRANT_EXPIRY);
        self.pending.retain(|_, request| now.since(request.last_repeated) < REQUEST_EXPIRY);
        let mut grants = Vec::new();
        while now >= self.next_grant && self.granted.len() < self.window {
            let Some(key) = self.most_urgent() else { break };
            self.pending.remove(&key);
            self.granted.insert(key.clone(), now);
            self.next_grant = self.next_grant.max(now) + self.limits.interval();
            grants.push(key);
        }
        grants
    }

    /// When the next grant may be due; `None` if no request is pending.
    pub fn next_grant(&self) -> Option<Timestamp> {
        (!self.pending.is_empty()).then_some(self.next_grant)
    }

    /// How long a new request would wait behind the pending ones that have demand.
    pub fn expected_wait(&self, now: Timestamp) -> Duration {
        let demanded = self.pending.values().filter(|request| request.urgency.demanded).count();
        let ahead = u32::try_from(demanded).unwrap_or(u32::MAX);
        let window = u32::try_from(self.window).unwrap_or(u32::MAX);
        let interval = self.limits.interval().max(self.load_time / window);
        self.next_grant.since(now) + interval.saturating_mul(ahead)
    }

    fn most_urgent(&self) -> Option<PermitKey> {
        self.pending
            .iter()
            .max_by(|(_, a), (_, b)| a.urgency.cmp(&b.urgency).then_with(|| b.since.cmp(&a.since)))
            .map(|(key, _)| key.clone())
    }
}

//! The instance that gives out the permits of one store.

use std::collections::BTreeMap;
use std::time::Duration;

use super::PermitKey;
use super::StoreLimits;
use super::Urgency;
use crate::names::Timestamp;

/// Time after which a granted load counts as ended if nobody said so.
const GRANT_EXPIRY: Duration = Duration::from_secs(10);
/// Time after which an application that wasn't repeated is forgotten.
const APPLICATION_EXPIRY: Duration = Duration::from_secs(10);

/// Weight of the newest load in the average time of a load.
const NEWEST_SHARE: f64 = 0.3;
/// Times the time at full speed from which a load counts as slow.
const SLOW_FACTOR: f64 = 2.0;

/// Applications and grants of one store.
///
/// A store that becomes slower than its limits say isn't announced. The holder
/// sees it by the time that loads take: each slow load halves the number in
/// flight, each other one raises it by one, so that the queue waits here, where
/// it can be put in order, and not in the store.
#[derive(Clone, Debug)]
pub struct PermitIssuer {
    limits: StoreLimits,
    next_grant: Timestamp,
    applications: BTreeMap<PermitKey, Application>,
    granted: BTreeMap<PermitKey, Timestamp>,
    window: usize,
    load_time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Application {
    urgency: Urgency,
    since: Timestamp,
    repeated: Timestamp,
}

impl PermitIssuer {
    /// A holder that grants nothing before `now`.
    pub fn new(now: Timestamp, limits: StoreLimits) -> Self {
        Self {
            limits,
            next_grant: now,
            applications: BTreeMap::new(),
            granted: BTreeMap::new(),
            window: limits.in_flight,
            load_time: limits.load_time,
        }
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        self.limits = limits;
    }

    /// Takes an application, or the new urgency of one.
    pub fn on_permit_request(&mut self, now: Timestamp, key: PermitKey, urgency: Urgency) {
        let since = self.applications.get(&key).map_or(now, |known| known.since);
        self.applications.insert(key, Application { urgency, since, repeated: now });
    }

    /// Forgets an application, or takes a permit back whose load ended or wasn't begun.
    pub fn on_ended(&mut self, now: Timestamp, key: &PermitKey) {
        self.applications.remove(key);
        let Some(since) = self.granted.remove(key) else { return };
        let took = now.since(since);
        if took < self.limits.load_time / 2 {
            return;
        }
        self.load_time = self.load_time.mul_f64(1.0 - NEWEST_SHARE) + took.mul_f64(NEWEST_SHARE);
        if took > self.limits.load_time.mul_f64(SLOW_FACTOR) {
            self.window = (self.window / 2).max(1);
        } else {
            self.window = (self.window + 1).min(self.limits.in_flight);
        }
    }

    /// Grants what the limits allow now, the most urgent and oldest applications first.
    pub fn grant(&mut self, now: Timestamp) -> Vec<PermitKey> {
        self.granted.retain(|_, since| now.since(*since) < GRANT_EXPIRY);
        self.applications.retain(|_, known| now.since(known.repeated) < APPLICATION_EXPIRY);
        let mut grants = Vec::new();
        while now >= self.next_grant && self.granted.len() < self.window {
            let Some(key) = self.first() else { break };
            self.applications.remove(&key);
            self.granted.insert(key.clone(), now);
            self.next_grant = self.next_grant.max(now) + self.limits.interval();
            grants.push(key);
        }
        grants
    }

    /// When the next grant may be due, if an application waits.
    pub fn next_grant(&self) -> Option<Timestamp> {
        (!self.applications.is_empty()).then_some(self.next_grant)
    }

    /// How long a new application would wait behind the demanded ones.
    pub fn expected_wait(&self, now: Timestamp) -> Duration {
        let demanded = self.applications.values().filter(|known| known.urgency.demanded).count();
        let ahead = u32::try_from(demanded).unwrap_or(u32::MAX);
        let window = u32::try_from(self.window).unwrap_or(u32::MAX);
        let interval = self.limits.interval().max(self.load_time / window);
        self.next_grant.since(now) + interval.saturating_mul(ahead)
    }

    fn first(&self) -> Option<PermitKey> {
        self.applications
            .iter()
            .max_by(|(_, a), (_, b)| a.urgency.cmp(&b.urgency).then_with(|| b.since.cmp(&a.since)))
            .map(|(key, _)| key.clone())
    }
}

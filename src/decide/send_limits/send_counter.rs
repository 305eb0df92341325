//! Counts the sends of all instances to one replica that names a limit.

use std::collections::HashMap;
use std::time::Duration;

use super::ConcurrencyLimit;
use super::NamedLimits;
use super::PermitAsk;
use super::PermitId;
use super::SendRate;
use super::Verdict;
use crate::names::InstanceName;
use crate::names::Timestamp;

/// Share of the rate that calls of the control interface may use.
const CONTROL_SHARE: f64 = 0.5;
/// Time for which it counts what an instance said of its own requests that run.
const STATED_TTL: Duration = Duration::from_secs(2);
/// Time within which a rejection is heard of.
const PROOF_TIME: Duration = Duration::from_millis(40);
/// Shortest time until the next ask.
const MIN_RETRY: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
struct Permit {
    id: PermitId,
    granted_at: Timestamp,
    expires: Timestamp,
}

/// Sends to one replica that one instance has permitted.
#[derive(Clone, Debug)]
pub struct SendCounter {
    started_ms: u64,
    rate: Option<SendRate>,
    control_rate: Option<SendRate>,
    concurrency: Option<ConcurrencyLimit>,
    running: Vec<Permit>,
    /// Requests that run there by what their instances said last, whoever permitted them.
    stated: HashMap<InstanceName, (u32, Timestamp)>,
}

impl SendCounter {
    /// A counter that permits nothing at once, for the replica that was started at `started_ms`.
    pub fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            rate: None,
            control_rate: None,
            concurrency: None,
            running: Vec::new(),
            stated: HashMap::new(),
        }
    }

    /// Whether it counts for an earlier start of the replica than this one.
    pub fn is_outdated(&self, started_ms: u64) -> bool {
        self.started_ms < started_ms
    }

    /// Decides whether a request may be sent.
    pub fn ask(&mut self, now: Timestamp, ask: &PermitAsk) -> Verdict {
        self.apply_limits(now, ask.limits, ask.slots);
        self.running.retain(|permit| now < permit.expires);
        if self.concurrency.is_some() {
            self.stated.insert(ask.id.user.clone(), (ask.running, now));
        }
        let running = self.running_requests(now);
        let concurrency_wait = self
            .concurrency
            .as_mut()
            .map_or(Duration::ZERO, |limit| limit.wait(now, running, ask.slots));
        let rate_wait = self.rate.as_mut().map_or(Duration::ZERO, |rate| rate.wait(now));
        let wait = concurrency_wait.max(rate_wait).max(self.wait_for_proof(now));
        if !wait.is_zero() {
            return Verdict::Denied(wait.max(MIN_RETRY));
        }
        if let Some(rate) = &mut self.rate {
            rate.take();
        }
        if self.concurrency.is_some() {
            self.running.push(Permit {
                id: ask.id.clone(),
                granted_at: now,
                expires: now + ask.expires_in,
            });
        }
        Verdict::Granted
    }

    /// Decides whether a call of the control interface may be made, which leaves the other part of
    /// the rate to requests.
    pub fn ask_for_control(&mut self, now: Timestamp, limits: NamedLimits, slots: u32) -> Verdict {
        self.apply_limits(now, limits, slots);
        let (Some(rate), Some(control)) = (&mut self.rate, &mut self.control_rate) else {
            return Verdict::Granted;
        };
        let wait = rate.wait(now).max(control.wait(now));
        if !wait.is_zero() {
            return Verdict::Denied(wait.max(MIN_RETRY));
        }
        rate.take();
        control.take();
        Verdict::Granted
    }

    /// Records that a permitted request has ended, and whether the replica turned it away.
    pub fn end(&mut self, now: Timestamp, id: &PermitId, was_rejected: bool) {
        self.running.retain(|permit| permit.id != *id && now < permit.expires);
        if let Some((stated, _)) = self.stated.get_mut(&id.user) {
            *stated = stated.saturating_sub(1);
        }
        let running = self.running_requests(now);
        if let Some(limit) = self.concurrency.as_mut().filter(|_| was_rejected) {
            limit.on_rejected(now, running);
        }
    }

    /// Ends the permits of instances for which `is_there` is false.
    pub fn retain_users(&mut self, is_there: impl Fn(&InstanceName) -> bool) {
        self.running.retain(|permit| is_there(&permit.id.user));
        self.stated.retain(|user, _| is_there(user));
    }

    /// Forgets what was allowed: this process was paused, and others may have counted meanwhile.
    pub fn on_pause(&mut self, now: Timestamp) {
        for rate in [&mut self.rate, &mut self.control_rate].into_iter().flatten() {
            rate.drain(now);
        }
        if let Some(limit) = &mut self.concurrency {
            limit.restart(now, limit.slots());
        }
    }

    fn apply_limits(&mut self, now: Timestamp, limits: NamedLimits, slots: u32) {
        set_rate(now, &mut self.rate, limits.rate);
        set_rate(now, &mut self.control_rate, limits.rate.map(|rate| rate * CONTROL_SHARE));
        match (&mut self.concurrency, limits.max_rejections) {
            (Some(limit), Some(max)) => limit.set_max_rejections(max),
            (None, Some(max)) => self.concurrency = Some(ConcurrencyLimit::new(now, slots, max)),
            (_, None) => self.concurrency = None,
        }
    }

    /// Time to wait while as many requests are on their way as may be rejected; zero if fewer are.
    fn wait_for_proof(&self, now: Timestamp) -> Duration {
        let max = self.concurrency.as_ref().and_then(|limit| limit.max_unproven(now));
        let is_new = |permit: &&Permit| now.since(permit.granted_at) < PROOF_TIME;
        let unproven = self.running.iter().filter(is_new).count();
        if max.is_some_and(|max| unproven >= max) { MIN_RETRY } else { Duration::ZERO }
    }

    /// Requests under way, by permits and by what instances said: another instance may have counted
    /// for some of them.
    fn running_requests(&mut self, now: Timestamp) -> u32 {
        self.stated.retain(|_, (_, at)| now.since(*at) < STATED_TTL);
        let mut by_user: HashMap<&InstanceName, u32> = HashMap::new();
        for permit in &self.running {
            *by_user.entry(&permit.id.user).or_default() += 1;
        }
        for (user, (running, _)) in &self.stated {
            let count = by_user.entry(user).or_default();
            *count = (*count).max(*running);
        }
        by_user.values().sum()
    }
}

fn set_rate(now: Timestamp, current: &mut Option<SendRate>, named: Option<f64>) {
    match (current.as_mut(), named) {
        (Some(current), Some(named)) => current.set_rate(now, named),
        (None, Some(named)) => *current = Some(SendRate::new(now, named)),
        (_, None) => *current = None,
    }
}

//! What one instance knows of one replica's limits.
//!
//! A limit holds for as long as the replica names it. Responses cross, so one without a limit ends
//! it only if its request was sent after the limit was heard of last. A limit of which nothing
//! is heard goes on: permits still let requests through, and their responses tell its end.

use std::time::Duration;

use super::NamedLimits;
use crate::names::Timestamp;

/// Time for which other instances are told of a change.
const NEWS_TIME: Duration = Duration::from_millis(1500);
/// Time after a denial for which this instance asks for one permit at a time.
const SINGLE_ASK_TIME: Duration = Duration::from_secs(1);
/// Longest time for which an ask without a reply holds back others.
const ASK_INTERVAL: Duration = Duration::from_millis(30);

/// Limits of one replica, and until when this instance sends it nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitKnowledge {
    limits: NamedLimits,
    /// When the response was sent that named them last; `None` if none ever did.
    heard_at: Option<Timestamp>,
    changed_at: Option<Timestamp>,
    closed_until: Timestamp,
    denied_at: Option<Timestamp>,
}

impl LimitKnowledge {
    /// What the replica names.
    pub fn limits(&self) -> NamedLimits {
        self.limits
    }

    /// Whether each send needs a permit.
    pub fn needs_permit(&self) -> bool {
        !self.limits.is_none()
    }

    /// Applies what a response names whose request was sent at `sent_at`; returns whether the limits
    /// have changed.
    pub fn on_response(&mut self, now: Timestamp, sent_at: Timestamp, named: NamedLimits) -> bool {
        if named.is_none() && self.heard_at.is_none_or(|heard_at| sent_at <= heard_at) {
            return false;
        }
        self.apply(now, now, named)
    }

    /// Applies what another instance heard `age` ago; returns whether the limits have changed.
    pub fn on_news(&mut self, now: Timestamp, named: NamedLimits, age: Duration) -> bool {
        let heard_at = now - age;
        if self.heard_at.is_some_and(|at| at >= heard_at) {
            return false;
        }
        self.apply(now, heard_at, named)
    }

    /// Applies what another replica of its service named: a limit of rejections holds for all of
    /// them, also for this one, which hasn't answered yet.
    pub fn on_sibling(&mut self, now: Timestamp, named: NamedLimits) {
        if self.heard_at.is_none() && named.max_rejections.is_some() {
            self.apply(now, now, NamedLimits { rate: None, ..named });
        }
    }

    fn apply(&mut self, now: Timestamp, heard_at: Timestamp, named: NamedLimits) -> bool {
        self.heard_at = Some(heard_at);
        if self.limits == named {
            return false;
        }
        self.limits = named;
        self.changed_at = Some(now);
        if named.is_none() {
            self.closed_until = now;
        }
        true
    }

    /// What other instances are to be told, with its age; `None` unless it changed lately.
    pub fn news(&self, now: Timestamp) -> Option<(NamedLimits, Duration)> {
        let is_news = self.changed_at.is_some_and(|at| now.since(at) < NEWS_TIME);
        let heard_at = self.heard_at.filter(|_| is_news)?;
        Some((self.limits, now.since(heard_at)))
    }

    /// Time since the response that named the limits last; zero if none ever did.
    pub fn age(&self, now: Timestamp) -> Duration {
        self.heard_at.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Records that a permit is asked for: soon after a denial, other requests wait for the reply.
    pub fn on_ask(&mut self, now: Timestamp) {
        if self.denied_at.is_some_and(|at| now.since(at) < SINGLE_ASK_TIME) {
            self.closed_until = self.closed_until.max(now + ASK_INTERVAL);
        }
    }

    /// Records that a permit was granted.
    pub fn on_granted(&mut self, now: Timestamp) {
        self.closed_until = now;
        self.denied_at = None;
    }

    /// Records that no permit is to be had for this time.
    pub fn on_denied(&mut self, now: Timestamp, retry_in: Duration) {
        self.denied_at = Some(now);
        self.closed_until = self.closed_until.max(now + retry_in);
    }

    /// Time until a permit may be had; zero if it is worth asking now.
    pub fn closed_for(&self, now: Timestamp) -> Duration {
        self.closed_until.since(now)
    }
}

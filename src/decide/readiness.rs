//! What an instance lacks for callers to send requests to it, and when that changes.

use std::time::Duration;

use serde::Serialize;

use crate::names::Timestamp;

/// Time for which accepts fail before callers should go elsewhere.
const ACCEPTS_FAILING_TIME: Duration = Duration::from_secs(1);
/// Time after a failed accept within which it is tried again while connections wait.
const ACCEPTS_REPEATED_TIME: Duration = Duration::from_millis(500);

/// Something without which callers shouldn't send requests to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Missing {
    /// No peer has replied, and the time to wait for one isn't over.
    Join,
    /// No configuration is known.
    Config,
    /// The configuration has lacked changes that a peer has for too long.
    NewerConfig,
    /// The replicas weren't listed, or what came after an old listing isn't known.
    Replicas,
    /// Neither peers nor the published state can be reached.
    Contact,
    /// The address for callers isn't bound.
    CallerAddress,
    /// Callers' connections can't be accepted, as for want of descriptors.
    Accepts,
    /// The instance shuts down.
    Service,
}

/// Whether callers' connections are accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcceptHealth {
    /// Times of the first and the last of the failures that followed each other; `None` without any.
    failing: Option<(Timestamp, Timestamp)>,
}

impl AcceptHealth {
    /// Records a failed accept.
    pub fn on_failed(&mut self, now: Timestamp) {
        let first = self.failing.filter(|(_, last)| now.since(*last) < ACCEPTS_REPEATED_TIME);
        self.failing = Some((first.map_or(now, |(first, _)| first), now));
    }

    /// Records that a connection is accepted.
    pub fn on_accepted(&mut self) {
        self.failing = None;
    }

    /// Whether accepts have failed for so long that callers should go elsewhere. Without connections that
    /// wait none fails any more, and callers may come again.
    pub fn is_failing(&self, now: Timestamp) -> bool {
        self.failing.is_some_and(|(first, last)| {
            now.since(first) >= ACCEPTS_FAILING_TIME && now.since(last) < ACCEPTS_REPEATED_TIME
        })
    }
}

/// A change of what is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadinessChange {
    /// What is missing now; nothing if the instance is ready.
    pub missing: Vec<Missing>,
    /// What was missing before; `None` at the first check.
    pub before: Option<Vec<Missing>>,
    /// Time since the change before, or since the process started.
    pub lasted: Duration,
}

/// What was missing at the last check, and since when.
#[derive(Clone, Debug)]
pub struct Readiness {
    since: Timestamp,
    missing: Option<Vec<Missing>>,
}

impl Readiness {
    /// Not checked yet, in a process that started now.
    pub fn new(now: Timestamp) -> Self {
        Self { since: now, missing: None }
    }

    /// Takes what is missing now; returns the change if there is one.
    pub fn on_check(&mut self, now: Timestamp, missing: Vec<Missing>) -> Option<ReadinessChange> {
        if self.missing.as_ref() == Some(&missing) {
            return None;
        }
        let before = self.missing.replace(missing.clone());
        let lasted = now.since(self.since);
        self.since = now;
        Some(ReadinessChange { missing, before, lasted })
    }
}

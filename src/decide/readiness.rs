//! What an instance lacks for callers to send requests to it, and when that changes.

use std::time::Duration;

use serde::Serialize;

use crate::names::Timestamp;

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
    /// The instance shuts down.
    Service,
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

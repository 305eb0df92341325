//! Readiness of an instance over time.

use std::time::Duration;

use super::Missing;
use super::MissingSince;
use super::ReadinessChange;
use crate::decide::repeat_schedule::RepeatSchedule;
use crate::names::Timestamp;

/// Time without readiness after which that is logged as a state; most starts take less.
const FIRST_REPEAT_AFTER: Duration = Duration::from_secs(3);

/// What was missing at the last check, and since when.
#[derive(Clone, Debug)]
pub struct Readiness {
    changed_at: Timestamp,
    missing: Option<Vec<Missing>>,
    /// Since when each of these has been missing.
    since: Vec<(Missing, Timestamp)>,
    /// Since when the instance isn't ready, and when that is logged again.
    unready: Option<(Timestamp, RepeatSchedule)>,
    was_ready: bool,
}

impl Readiness {
    /// Not checked yet, in a process that started now.
    pub fn new(now: Timestamp) -> Self {
        let unready = Some((now, RepeatSchedule::new(now, FIRST_REPEAT_AFTER)));
        Self { changed_at: now, missing: None, since: Vec::new(), unready, was_ready: false }
    }

    /// Takes what is missing now; returns the change if there is one.
    pub fn on_check(&mut self, now: Timestamp, missing: Vec<Missing>) -> Option<ReadinessChange> {
        if self.missing.as_ref() == Some(&missing) {
            return None;
        }
        self.since = missing.iter().map(|what| (*what, self.since(now, *what))).collect();
        if missing.is_empty() {
            self.unready = None;
            self.was_ready = true;
        } else {
            let begun = || (now, RepeatSchedule::new(now, FIRST_REPEAT_AFTER));
            self.unready.get_or_insert_with(begun);
        }
        let before = self.missing.replace(missing.clone());
        let lasted = now.since(self.changed_at);
        self.changed_at = now;
        Some(ReadinessChange { missing, before, lasted })
    }

    /// Whether a log line is due that tells that the instance still isn't ready; it counts as written.
    pub fn take_due_line(&mut self, now: Timestamp) -> bool {
        let Some((_, repeat)) = &mut self.unready else { return false };
        let is_due = repeat.is_due(now);
        if is_due {
            repeat.on_line(now);
        }
        is_due
    }

    /// Whether nothing was missing at some check.
    pub fn was_ready(&self) -> bool {
        self.was_ready
    }

    /// Time since the instance isn't ready; `None` if it was at the last check.
    pub fn unready_for(&self, now: Timestamp) -> Option<Duration> {
        self.unready.as_ref().map(|(since, _)| now.since(*since))
    }

    /// Since when each of these is missing; what wasn't at the last check is since now.
    pub fn describe(&self, now: Timestamp, missing: &[Missing]) -> Vec<MissingSince> {
        let describe = |what: &Missing| MissingSince {
            what: *what,
            missing_ms: now.since(self.since(now, *what)).as_millis() as u64,
            waits_for: what.waits_for(),
        };
        missing.iter().map(describe).collect()
    }

    fn since(&self, now: Timestamp, what: Missing) -> Timestamp {
        let known = self.since.iter().find(|(missing, _)| *missing == what);
        known.map_or(now, |(_, since)| *since)
    }
}

//! Checks that instances become ready in time after what befell them, and stay so.

use std::time::Duration;

use super::Disruption;
use super::finding::Finding;
use super::finding::FindingKind;
use super::fleet::Trouble;
use super::readiness::Answer;
use super::readiness::Change;

/// Time within which an instance is ready after its last disruption.
pub const RECOVER_LIMIT: Duration = Duration::from_secs(12);
/// Time for which an instance may be unready without a cause, as on a busy machine.
const UNREADY_LIMIT: Duration = Duration::from_secs(2);

/// What was seen of one instance's readiness.
#[derive(Debug, Default)]
pub struct Recovery {
    /// What is wrong.
    pub findings: Vec<Finding>,
    /// Times from the end of a disruption to readiness, where a pause followed that was long enough.
    pub times: Vec<Duration>,
    /// Times from the start of a process to readiness, of those that became ready.
    pub start_times: Vec<Duration>,
}

impl Recovery {
    /// Checks the answers of the instance of this index.
    pub fn check(
        index: usize,
        changes: &[Change],
        disruptions: &[Disruption],
        troubles: &[Trouble],
        duration: Duration,
    ) -> Self {
        let mut recovery = Self::default();
        for change in changes.iter().filter(|change| change.answer == Answer::ReadyButRefuses) {
            let detail = format!("instance {index}");
            recovery.add(change.at, FindingKind::ReadyButRefuses, detail);
        }
        let own = troubles.iter().filter(|one| one.instance == index && one.from == one.until);
        let mut starts: Vec<Duration> = own.map(|one| one.from).collect();
        starts.push(duration);
        for pair in starts.windows(2) {
            let ready_at = first_ready(changes, pair[0], pair[1]);
            recovery.start_times.extend(ready_at.map(|at| at - pair[0]));
        }
        for (from, until) in pauses(index, disruptions, troubles, duration) {
            recovery.check_pause(index, changes, from, until);
        }
        recovery
    }

    fn add(&mut self, at: Duration, kind: FindingKind, detail: String) {
        self.findings.push(Finding { at, kind, detail });
    }

    fn check_pause(&mut self, index: usize, changes: &[Change], from: Duration, until: Duration) {
        let Some(ready_at) = ready_time(changes, from, until) else {
            let last = changes.iter().rfind(|change| change.at <= until).map(|one| one.answer);
            let detail = format!("instance {index}, since {from:.3?}: {last:?}");
            self.add(from + RECOVER_LIMIT, FindingKind::ReadyLate, detail);
            return;
        };
        let time = ready_at - from;
        self.times.push(time);
        if time > RECOVER_LIMIT {
            let detail = format!("instance {index} after {time:.3?}");
            self.add(ready_at, FindingKind::ReadyLate, detail);
        }
        for (position, change) in changes.iter().enumerate() {
            if change.at <= ready_at || change.at >= until || change.answer == Answer::Ready {
                continue;
            }
            let end = changes.get(position + 1).map_or(until, |next| next.at.min(until));
            if end - change.at > UNREADY_LIMIT {
                let detail = format!("instance {index}: {:?} until {end:.3?}", change.answer);
                self.add(change.at, FindingKind::Unready, detail);
            }
        }
    }
}

/// First time in a pause at which the instance was ready.
fn ready_time(changes: &[Change], from: Duration, until: Duration) -> Option<Duration> {
    let before = changes.iter().rfind(|change| change.at <= from);
    if before.is_some_and(|change| change.answer == Answer::Ready) {
        return Some(from);
    }
    first_ready(changes, from, until)
}

/// First time between these at which the instance became ready.
fn first_ready(changes: &[Change], from: Duration, until: Duration) -> Option<Duration> {
    let mut inside = changes.iter().filter(|change| change.at > from && change.at < until);
    inside.find(|change| change.answer == Answer::Ready).map(|change| change.at)
}

/// Times without any disruption of this instance that last longer than [`RECOVER_LIMIT`].
fn pauses(
    index: usize,
    disruptions: &[Disruption],
    troubles: &[Trouble],
    duration: Duration,
) -> Vec<(Duration, Duration)> {
    let befalls = |one: &&Disruption| one.instances.is_empty() || one.instances.contains(&index);
    let mut spans: Vec<(Duration, Duration)> =
        disruptions.iter().filter(befalls).map(|one| (one.at, one.until)).collect();
    let own = troubles.iter().filter(|one| one.instance == index);
    spans.extend(own.map(|one| (one.from, one.until)));
    spans.push((duration, duration));
    spans.sort_unstable();
    let mut pauses = Vec::new();
    let mut end = Duration::ZERO;
    for (from, until) in spans {
        if from > end + RECOVER_LIMIT {
            pauses.push((end, from));
        }
        end = end.max(until);
    }
    pauses
}

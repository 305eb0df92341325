//! Which requests ran, how often and where.

use std::collections::HashMap;
use std::time::Duration;

use super::super::Disruption;
use super::super::record::Arrival;
use super::super::record::Attempt;
use super::super::record::DeclaredVersion;
use super::super::record::RequestKind;
use super::super::record::Seen;
use super::Rule;
use super::Violation;
use super::calm::is_calm;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Time after which no request begins on a version that a newer one has replaced.
const VERSION_BOUND: Duration = Duration::from_secs(5);

/// Checks all runs.
pub fn check(seen: &Seen, disruptions: &[Disruption]) -> Vec<Violation> {
    let mut runs: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in seen.arrivals.iter().filter(|arrival| arrival.run.is_ok()) {
        runs.entry(&arrival.id).or_default().push(arrival);
    }
    let mut violations = Vec::new();
    for attempt in &seen.attempts {
        let runs = runs.remove(attempt.id.as_str()).unwrap_or_default();
        violations.extend(check_count(attempt, &runs));
        violations.extend(runs.iter().filter_map(|run| check_route(attempt, run)));
    }
    violations.extend(runs.values().flatten().map(|run| {
        let detail = format!("{} ran {} of no known attempt {}", run.server, run.path, run.id);
        Violation::new(Rule::Unasked, run.at, detail)
    }));
    let outdated =
        seen.arrivals.iter().filter_map(|run| check_version(run, &seen.versions, disruptions));
    violations.extend(outdated);
    violations
}

/// Checks how often an attempt ran. Safe requests and streams that can be resumed may run again.
fn check_count(attempt: &Attempt, runs: &[&Arrival]) -> Option<Violation> {
    if attempt.kind != RequestKind::Unsafe {
        return None;
    }
    let servers: Vec<&str> = runs.iter().map(|run| &*run.server).collect();
    let (id, path) = (&attempt.id, &attempt.path);
    if runs.len() > 1 {
        let detail = format!("attempt {id} of {path} ran at {servers:?}");
        return Some(Violation::new(Rule::Twice, runs[1].at, detail));
    }
    let status = attempt.answer.status.filter(|status| PROMISES.contains(status))?;
    let run = runs.first()?;
    let detail = format!("attempt {id} of {path} was answered {status} and ran at {servers:?}");
    Some(Violation::new(Rule::Refused, run.at, detail))
}

fn check_route(attempt: &Attempt, run: &Arrival) -> Option<Violation> {
    let piece = run.run.as_ref().ok()?;
    let adapter = piece.adapter.split('@').next().unwrap_or_default();
    let is_right_service = run.is_desk == (attempt.kind == RequestKind::Unsafe);
    if is_right_service && adapter == attempt.adapter && run.path == attempt.path {
        return None;
    }
    let detail = format!(
        "attempt {} of {} with adapter {:?} ran as {} with {:?} at {}",
        attempt.id, attempt.path, attempt.adapter, run.path, piece.adapter, run.server
    );
    Some(Violation::new(Rule::Route, run.at, detail))
}

/// Checks the adapter's version of a run that begins; a stream that is taken up goes on with the
/// version that began it.
fn check_version(
    run: &Arrival,
    versions: &[DeclaredVersion],
    disruptions: &[Disruption],
) -> Option<Violation> {
    let piece = run.run.as_ref().ok().filter(|_| run.after.is_none())?;
    let (adapter, version) = piece.adapter.split_once('@')?;
    let version: u64 = version.parse().ok()?;
    let is_in_force = |declared: &&DeclaredVersion| {
        *declared.adapter == *adapter
            && declared.version > version
            && declared.at + VERSION_BOUND < run.at
            && is_calm(disruptions, declared.at, run.at)
    };
    let newer = versions.iter().find(is_in_force)?;
    let late = run.at - newer.at;
    let detail = format!(
        "attempt {} ran with {} at {} {} ms after version {} was declared",
        run.id,
        piece.adapter,
        run.server,
        late.as_millis(),
        newer.version
    );
    Some(Violation::new(Rule::Version, run.at, detail))
}

//! Whether callers got whole responses to their own requests, or visibly broken ones.

use std::collections::HashMap;
use std::collections::HashSet;

use tamaracklead_standin::Piece;
use tamaracklead_standin::STREAM_EVENTS;

use super::super::record::Attempt;
use super::super::record::RequestKind;
use super::super::record::Seen;
use super::Rule;
use super::Violation;

/// Checks all responses.
pub fn check(seen: &Seen) -> Vec<Violation> {
    let mut statuses: HashSet<(&str, u16)> = HashSet::new();
    for arrival in &seen.arrivals {
        statuses.insert((&arrival.id, arrival.run.as_ref().map_or_else(|status| *status, |_| 200)));
    }
    let mut violations = Vec::new();
    let mut streams: HashMap<u64, Vec<&Attempt>> = HashMap::new();
    for attempt in &seen.attempts {
        let mixed = check_answer(attempt, &statuses);
        violations.extend(mixed.map(|detail| Violation::new(Rule::Mixed, attempt.ended, detail)));
        if attempt.kind == RequestKind::Stream {
            streams.entry(attempt.request).or_default().push(attempt);
            violations.extend(check_end(attempt));
        }
    }
    violations.extend(streams.values().filter_map(|attempts| check_order(attempts)));
    violations
}

/// What is wrong with a response as a whole.
fn check_answer(attempt: &Attempt, statuses: &HashSet<(&str, u16)>) -> Option<String> {
    let answer = &attempt.answer;
    let status = answer.status?;
    let (id, path) = (&attempt.id, &attempt.path);
    if let Some(other) = answer.id.as_ref().filter(|other| *other != id) {
        return Some(format!("attempt {id} got the response to {other}"));
    }
    let is_success = (200..300).contains(&status);
    if is_success && !answer.is_sealed {
        return Some(format!("attempt {id} of {path} got a {status} without a seal"));
    }
    if answer.is_sealed && !statuses.contains(&(id.as_str(), status)) {
        return Some(format!("attempt {id} of {path} got a sealed {status} that no server gave"));
    }
    let foreign = pieces(attempt).find(|piece| !is_own(attempt, piece));
    if let Some(piece) = foreign {
        return Some(format!("attempt {id} of {path} got {:?}", piece.encode()));
    }
    let is_plain = attempt.kind != RequestKind::Stream;
    let looks_whole = is_success && answer.is_complete;
    if looks_whole && is_plain && answer.piece.is_none() {
        return Some(format!("attempt {id} of {path} got a complete body that isn't whole"));
    }
    None
}

fn pieces(attempt: &Attempt) -> impl Iterator<Item = &Piece> {
    let events = attempt.answer.events.iter().filter_map(|event| event.piece.as_ref());
    events.chain(&attempt.answer.piece)
}

fn is_own(attempt: &Attempt, piece: &Piece) -> bool {
    piece.path == attempt.path && piece.adapter.split('@').next() == Some(&attempt.adapter)
}

/// A stream that ends as complete has had its last event.
fn check_end(attempt: &Attempt) -> Option<Violation> {
    let answer = &attempt.answer;
    let is_success = answer.status.is_some_and(|status| (200..300).contains(&status));
    let before = attempt.taken_up.as_ref().map_or(0, |taken_up| taken_up.after);
    let last = answer.events.last().map_or(Some(before), |event| event.id);
    if !is_success || !answer.is_complete || last == Some(STREAM_EVENTS) {
        return None;
    }
    let detail = format!("attempt {} ends as complete after event {last:?}", attempt.id);
    Some(Violation::new(Rule::Order, attempt.ended, detail))
}

/// The events of a request's attempts are numbered without gaps, whole and of one software version.
fn check_order(attempts: &[&Attempt]) -> Option<Violation> {
    let mut software: Option<&Piece> = None;
    for attempt in attempts {
        let before = attempt.taken_up.as_ref().map_or(0, |taken_up| taken_up.after);
        for (expected, event) in (before + 1..).zip(&attempt.answer.events) {
            let found = |detail: String| {
                let detail = format!("attempt {} of {}: {detail}", attempt.id, attempt.path);
                Some(Violation::new(Rule::Order, event.at, detail))
            };
            let Some(piece) = &event.piece else {
                return found(format!("event {expected} isn't whole"));
            };
            if event.id != Some(expected) || piece.number != expected {
                let (id, number) = (event.id, piece.number);
                return found(format!("event {id:?} with {number} in place of {expected}"));
            }
            let first = *software.get_or_insert(piece);
            if first.software != piece.software {
                return found(format!(
                    "event {} is of {} at {}, event {} of {} at {}",
                    first.number,
                    first.software,
                    first.server,
                    piece.number,
                    piece.software,
                    piece.server
                ));
            }
        }
    }
    None
}

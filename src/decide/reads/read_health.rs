//! Whether reads fail, and what of that is logged.

use std::time::Duration;

use super::ReadFailure;
use super::ReadLine;
use super::causes::Causes;
use super::line_budget::LineBudget;
use crate::decide::repeat_schedule::RepeatSchedule;
use crate::names::Timestamp;

/// Time after which a read without an answer is worth telling; a long poll takes less.
const PENDING_AFTER: Duration = Duration::from_secs(2);
/// Most lines for new causes between two lines of the intervals.
const MAX_CAUSE_LINES: u32 = 3;

/// Health of the reads of one topic.
#[derive(Clone, Debug, Default)]
pub struct ReadHealth {
    /// Start of the read in progress.
    begun: Option<Timestamp>,
    failing: Option<Failing>,
    budget: LineBudget,
    /// Times of failing reads that ended without a line since the last line that tells of them.
    unlogged: u64,
}

/// A time in which reads fail.
#[derive(Clone, Debug)]
struct Failing {
    since: Timestamp,
    failures: u64,
    causes: Causes,
    /// When it is logged again; `None` before the first line.
    repeat: Option<RepeatSchedule>,
    cause_lines: u32,
}

impl ReadHealth {
    /// Records that a read begins.
    pub fn on_begin(&mut self, now: Timestamp) {
        self.begun = Some(now);
    }

    /// Records that the read in progress has an answer, or was given up.
    pub fn on_answer(&mut self) {
        self.begun = None;
    }

    /// Records that a read failed; returns the line that is due.
    pub fn on_failure(&mut self, now: Timestamp, cause: &str) -> Option<ReadLine> {
        let failing = self.failing.get_or_insert_with(|| Failing::new(now));
        failing.failures += 1;
        let is_new_cause = failing.causes.on_cause(now, cause);
        let Some(repeat) = &mut failing.repeat else {
            // The second line is the one for the end.
            if !self.budget.take(now, 2) {
                return None;
            }
            failing.repeat = Some(RepeatSchedule::after_line(now));
            let unlogged = std::mem::take(&mut self.unlogged);
            return Some(ReadLine::Lost { failure: failing.describe(now), unlogged });
        };
        let is_cause_due = is_new_cause && failing.cause_lines < MAX_CAUSE_LINES;
        let is_repeat_due = repeat.is_due(now);
        if !(is_cause_due || is_repeat_due) || !self.budget.take(now, 1) {
            return None;
        }
        if is_repeat_due {
            repeat.on_line(now);
            failing.cause_lines = 0;
        } else {
            failing.cause_lines += 1;
        }
        Some(ReadLine::Failing { failure: failing.describe(now) })
    }

    /// Records that a read succeeded, or that none is needed any more; returns the line that is due.
    pub fn on_end(&mut self, now: Timestamp) -> Option<ReadLine> {
        let failing = self.failing.take()?;
        if failing.repeat.is_none() {
            self.unlogged += 1;
            return None;
        }
        let lasted = now.since(failing.since);
        Some(ReadLine::Regained { lasted, failures: failing.failures })
    }

    /// For how long a read has had no answer; `None` if it isn't long or there is none.
    pub fn pending(&self, now: Timestamp) -> Option<Duration> {
        let pending = now.since(self.begun?);
        (pending >= PENDING_AFTER).then_some(pending)
    }

    /// For how long reads have failed, and why; `None` if they don't.
    pub fn failure(&self, now: Timestamp) -> Option<ReadFailure> {
        self.failing.as_ref().map(|failing| failing.describe(now))
    }
}

impl Failing {
    fn new(now: Timestamp) -> Self {
        Self { since: now, failures: 0, causes: Causes::default(), repeat: None, cause_lines: 0 }
    }

    fn describe(&self, now: Timestamp) -> ReadFailure {
        let cause = self.causes.last();
        let since = cause.map_or(self.since, |cause| cause.since);
        ReadFailure {
            failing_ms: now.since(self.since).as_millis() as u64,
            failures: self.failures,
            cause: cause.map(|cause| cause.text.clone()).unwrap_or_default(),
            cause_ms: now.since(since).as_millis() as u64,
            cause_count: cause.map_or(0, |cause| cause.count),
        }
    }
}

//! How a reader of the store keeps up with changes that take its link for long.
//!
//! Pattern: the operator writes a large item several times a second. A long poll returns every version
//! since the last one, so that a reader whose link doesn't carry them all falls further behind with
//! each poll. A listing returns the newest version alone; a pause before it leaves the link to callers.

use std::time::Duration;

/// Time from which on an answer with changes counts as slow.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(250);
/// Longest pause after a slow answer.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// What a reader does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// Polls for the changes since.
    Poll,
    /// Lists the newest state of all items after this time.
    List(Duration),
}

/// Pace of a reader.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadPace {
    pause: Option<Duration>,
}

impl ReadPace {
    /// Records an answer of the store whose body took this time to arrive.
    pub fn on_answer(&mut self, body_time: Duration, has_changes: bool) {
        let is_slow = has_changes && body_time >= SLOW_ANSWER_TIME;
        self.pause = is_slow.then(|| (body_time / 2).min(MAX_PAUSE));
    }

    /// Records an answer that broke off or stalled: it may have held many versions.
    pub fn on_broken_answer(&mut self) {
        self.pause = Some(Duration::ZERO);
    }

    /// What to do next.
    pub fn next(&self) -> NextRead {
        self.pause.map_or(NextRead::Poll, NextRead::List)
    }
}

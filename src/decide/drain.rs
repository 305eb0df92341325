//! Graceful shutdown: which work is still accepted, and when the process may end.
//!
//! A draining instance accepts no new completions and issues no tickets. It
//! finishes everything begun, and it still runs submissions whose tickets it
//! issued, because no other instance may run them. It ends once nothing is in
//! progress and callers have sent nothing for [`QUIET_PERIOD`], so that a balancer
//! that notices late gets an answer instead of a closed port.

use std::time::Duration;

use crate::names::Timestamp;

/// Time that must pass without work in progress or a request of a caller before the process ends.
pub const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Longest time that late callers alone keep an idle process from ending; a load
/// balancer that hasn't noticed the shutdown by then never will.
pub const MAX_IDLE_WAIT: Duration = Duration::from_secs(15);

/// Kinds of work that may arrive while an instance is draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkKind {
    /// A caller's completion.
    Completion,
    /// A caller's request for a ticket.
    Ticket,
    /// A submission whose ticket was issued here.
    OwnSubmission,
    /// A submission whose ticket another instance issued.
    ForeignSubmission,
    /// A completion that another instance sends to an engine owned here.
    Dispatch,
}

impl WorkKind {
    /// Every kind, for tables and tests.
    pub const ALL: [Self; 5] = [
        Self::Completion,
        Self::Ticket,
        Self::OwnSubmission,
        Self::ForeignSubmission,
        Self::Dispatch,
    ];

    /// Whether a draining instance accepts it.
    pub fn is_accepted_while_draining(self) -> bool {
        match self {
            Self::OwnSubmission | Self::ForeignSubmission => true,
            Self::Completion | Self::Ticket | Self::Dispatch => false,
        }
    }
}

/// How a shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEnd {
    /// Everything was finished.
    Finished,
    /// A second signal came; so many requests, dispatches and submissions were cut off.
    Interrupted(usize),
    /// The hard limit passed; so many requests, dispatches and submissions were cut off.
    LimitReached(usize),
}

/// Work in progress at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Requests, dispatches and submissions that have begun and not ended.
    pub in_progress: usize,
    /// Requests of callers since the start of the process, refused ones included.
    pub caller_requests: u64,
}

/// Events of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainInput {
    /// The first signal to shut down.
    Requested {
        /// Hard limit that the platform sets on the shutdown; `None` if it sets none.
        limit: Option<Duration>,
    },
    /// A further signal.
    RequestedAgain,
    /// A periodic sample of the work in progress.
    Observed(Progress),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Accepting,
    Draining {
        limit_at: Option<Timestamp>,
        idle_since: Option<Timestamp>,
        quiet_since: Timestamp,
        caller_requests: u64,
        in_progress: usize,
    },
    Ended(DrainEnd),
}

/// The shutdown of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drain {
    phase: Phase,
}

impl Drain {
    /// Whether the instance accepts this kind of work now.
    pub fn accepts(&self, work: WorkKind) -> bool {
        match self.phase {
            Phase::Accepting => true,
            Phase::Draining { .. } => work.is_accepted_while_draining(),
            Phase::Ended(_) => false,
        }
    }

    /// Whether a shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.phase != Phase::Accepting
    }

    /// How the shutdown ended; `None` while it hasn't.
    pub fn end(&self) -> Option<DrainEnd> {
        match self.phase {
            Phase::Ended(end) => Some(end),
            Phase::Accepting | Phase::Draining { .. } => None,
        }
    }

    /// Handles one event.
    pub fn on_input(&mut self, now: Timestamp, input: DrainInput) {
        match (self.phase, input) {
            (Phase::Accepting, DrainInput::Requested { limit }) => {
                self.phase = Phase::Draining {
                    limit_at: limit.map(|limit| now + limit),
                    idle_since: None,
                    quiet_since: now,
                    caller_requests: 0,
                    in_progress: 0,
                };
            }
            (
                Phase::Draining { in_progress, .. },
                DrainInput::Requested { .. } | DrainInput::RequestedAgain,
            ) => self.phase = Phase::Ended(DrainEnd::Interrupted(in_progress)),
            (Phase::Draining { .. }, DrainInput::Observed(progress)) => {
                self.on_observed(now, progress);
            }
            (Phase::Accepting | Phase::Ended(_), _) => {}
        }
    }

    fn on_observed(&mut self, now: Timestamp, progress: Progress) {
        let Phase::Draining { limit_at, idle_since, quiet_since, caller_requests, in_progress } =
            &mut self.phase
        else {
            return;
        };
        *in_progress = progress.in_progress;
        if progress.caller_requests != *caller_requests {
            *caller_requests = progress.caller_requests;
            *quiet_since = now;
        }
        if progress.in_progress > 0 {
            *idle_since = None;
            if limit_at.is_some_and(|limit_at| now >= limit_at) {
                self.phase = Phase::Ended(DrainEnd::LimitReached(progress.in_progress));
            }
            return;
        }
        let idle_for = now.since(*idle_since.get_or_insert(now));
        let quiet_for = now.since(*quiet_since);
        let quiet = idle_for >= QUIET_PERIOD && quiet_for >= QUIET_PERIOD;
        let limited = limit_at.is_some_and(|limit_at| now >= limit_at);
        if quiet || idle_for >= MAX_IDLE_WAIT || limited {
            self.phase = Phase::Ended(DrainEnd::Finished);
        }
    }
}

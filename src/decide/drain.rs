//! Graceful shutdown: what is still taken, and when the process may end.
//!
//! A draining instance takes no new completions and issues no tickets. It goes on
//! with everything begun, and it still runs submissions whose tickets it
//! issued, because no other instance may run them. It ends once nothing is in
//! progress and callers have sent nothing for [`LINGER`], so that a balancer
//! that lags gets an answer instead of a closed port.

use std::time::Duration;

use crate::names::Timestamp;

/// Time without any request of a caller before the process ends.
pub const LINGER: Duration = Duration::from_secs(1);
/// Longest time that late callers alone keep the process from ending; a
/// balancer that hasn't noticed by then never will.
pub const MAX_LINGER: Duration = Duration::from_secs(15);

/// Work that may come in while an instance is draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkKind {
    /// A caller's completion.
    Completion,
    /// A caller's wish for a ticket.
    Ticket,
    /// A submission whose ticket was issued here.
    OwnSubmission,
    /// A submission whose ticket another instance issued.
    ForeignSubmission,
    /// A completion that another instance sends to an engine owned here.
    Dispatch,
}

impl WorkKind {
    /// Every kind of work, for tables and tests.
    pub const ALL: [Self; 5] = [
        Self::Completion,
        Self::Ticket,
        Self::OwnSubmission,
        Self::ForeignSubmission,
        Self::Dispatch,
    ];

    /// Whether a draining instance takes it.
    pub fn taken_while_draining(self) -> bool {
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
    /// A second signal came; this much was cut off.
    Interrupted(usize),
    /// The hard limit came first; this much was cut off.
    LimitReached(usize),
}

/// What is in progress at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Requests, dispatches and submissions that have begun and not ended.
    pub in_progress: usize,
    /// Requests of callers since the start of the process, refused ones included.
    pub caller_requests: u64,
}

/// What can happen to a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainInput {
    /// The first signal.
    Requested {
        /// Longest time that the platform leaves, if it limits it.
        limit: Option<Duration>,
    },
    /// A further signal.
    RequestedAgain,
    /// A look at the work in progress.
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
    /// Whether the instance takes this work now.
    pub fn accepts(&self, work: WorkKind) -> bool {
        match self.phase {
            Phase::Accepting => true,
            Phase::Draining { .. } => work.taken_while_draining(),
            Phase::Ended(_) => false,
        }
    }

    /// Whether a shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.phase != Phase::Accepting
    }

    /// How the shutdown ended, if it has.
    pub fn end(&self) -> Option<DrainEnd> {
        match self.phase {
            Phase::Ended(end) => Some(end),
            Phase::Accepting | Phase::Draining { .. } => None,
        }
    }

    /// Takes one event.
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
        let quiet = idle_for >= LINGER && quiet_for >= LINGER;
        let limited = limit_at.is_some_and(|limit_at| now >= limit_at);
        if quiet || idle_for >= MAX_LINGER || limited {
            self.phase = Phase::Ended(DrainEnd::Finished);
        }
    }
}

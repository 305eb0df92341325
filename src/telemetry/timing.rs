//! Measured times.

/// A time that is measured for each event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Timing {
    /// Time that a request waited for its adapter to be loaded.
    LoadStall,
    /// Time that a request waited at the owner before dispatch.
    QueueWait,
    /// Time from a completion's arrival to its first token.
    FirstToken,
    /// Time from a completion's arrival to the end of its answer.
    Completion,
    /// Time from a submission's arrival to its answer.
    Submission,
    /// Time from a load order to its end.
    Load,
}

impl Timing {
    /// Every one, for tables and tests.
    pub const ALL: [Self; 6] = [
        Self::LoadStall,
        Self::QueueWait,
        Self::FirstToken,
        Self::Completion,
        Self::Submission,
        Self::Load,
    ];

    /// Name of the metric, behind the instance's prefix.
    pub fn name(self) -> &'static str {
        match self {
            Self::LoadStall => "load_stall_time",
            Self::QueueWait => "queue_wait_time",
            Self::FirstToken => "first_token_time",
            Self::Completion => "completion_time",
            Self::Submission => "submission_time",
            Self::Load => "load_time",
        }
    }

    /// What it tells, for the documentation.
    pub fn meaning(self) -> &'static str {
        match self {
            Self::LoadStall => "time that a request waited for its adapter to be loaded",
            Self::QueueWait => "time that a request waited at the owner before dispatch",
            Self::FirstToken => "time from a completion's arrival to its first token",
            Self::Completion => "time from a completion's arrival to the end of its answer",
            Self::Submission => "time from a submission's arrival to its answer",
            Self::Load => "time from a load order to its end",
        }
    }
}

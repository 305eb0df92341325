//! Timings: durations that are measured and sent one by one.

/// A duration that is measured for each event; one metric each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Timing {
    /// Queue wait of a request whose adapter was loaded before it was dispatched.
    LoadStall,
    /// Time from a request's arrival at the owner to its dispatch to the engine.
    QueueWait,
    /// Time from a completion's arrival to its first token.
    FirstToken,
    /// Time from a completion's arrival to the end of its response.
    Completion,
    /// Time from a submission's arrival to its response.
    Submission,
    /// Time from a load order to its success; failed loads are not measured.
    Load,
}

impl Timing {
    /// Every timing, for the generated documentation and for tests.
    pub const ALL: [Self; 6] = [
        Self::LoadStall,
        Self::QueueWait,
        Self::FirstToken,
        Self::Completion,
        Self::Submission,
        Self::Load,
    ];

    /// Name of the metric, without the prefix `tamaracklead.INSTANCE.`.
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

    /// Description in the generated table of metrics in the documentation.
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

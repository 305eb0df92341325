//! Counted events.

/// An event that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Counter {
    /// Completions that callers asked for.
    CompletionArrived,
    /// Submissions that callers sent, re-sent ones included.
    SubmissionArrived,
    /// Tickets issued.
    TicketIssued,
    /// Completions answered whole.
    CompletionAnswered,
    /// Submissions answered with a receipt.
    SubmissionAnswered,
    /// Requests answered with "not run".
    NotRun,
    /// Submissions answered with "outcome unknown".
    OutcomeUnknown,
    /// Requests that failed and may have run.
    Failed,
    /// Answers withheld because they came from another adapter.
    WrongAnswer,
    /// Attempts on another engine or desk after a failure.
    Retried,
    /// Requests that waited for their adapter to be loaded.
    LoadStalled,
    /// Adapter loads ordered.
    LoadStarted,
    /// Adapter loads that failed.
    LoadFailed,
    /// Adapters unloaded to free a slot.
    Evicted,
    /// Generations applied.
    ConfigApplied,
    /// Generations refused.
    ConfigRefused,
    /// Engines whose lease this instance gained.
    LeaseGained,
    /// Engines whose lease this instance lost or gave up.
    LeaseLost,
    /// Engine incarnations that ended with requests in flight.
    EngineRestarted,
    /// Requests refused because they crashed engines.
    Quarantined,
    /// Peer messages refused for their signature.
    PeerRefused,
    /// Requests refused for a missing or wrong key.
    CallerRefused,
}

impl Counter {
    /// Every one, for tables and tests.
    pub const ALL: [Self; 22] = [
        Self::CompletionArrived,
        Self::SubmissionArrived,
        Self::TicketIssued,
        Self::CompletionAnswered,
        Self::SubmissionAnswered,
        Self::NotRun,
        Self::OutcomeUnknown,
        Self::Failed,
        Self::WrongAnswer,
        Self::Retried,
        Self::LoadStalled,
        Self::LoadStarted,
        Self::LoadFailed,
        Self::Evicted,
        Self::ConfigApplied,
        Self::ConfigRefused,
        Self::LeaseGained,
        Self::LeaseLost,
        Self::EngineRestarted,
        Self::Quarantined,
        Self::PeerRefused,
        Self::CallerRefused,
    ];

    /// Name of the metric, behind the instance's prefix.
    pub fn name(self) -> &'static str {
        match self {
            Self::CompletionArrived => "requests.completion",
            Self::SubmissionArrived => "requests.submission",
            Self::TicketIssued => "requests.ticket",
            Self::CompletionAnswered => "answers.completion",
            Self::SubmissionAnswered => "answers.submission",
            Self::NotRun => "answers.not_run",
            Self::OutcomeUnknown => "answers.outcome_unknown",
            Self::Failed => "answers.failed",
            Self::WrongAnswer => "answers.withheld",
            Self::Retried => "retries",
            Self::LoadStalled => "load_stalls",
            Self::LoadStarted => "loads.started",
            Self::LoadFailed => "loads.failed",
            Self::Evicted => "evictions",
            Self::ConfigApplied => "config.applied",
            Self::ConfigRefused => "config.refused",
            Self::LeaseGained => "leases.gained",
            Self::LeaseLost => "leases.lost",
            Self::EngineRestarted => "engines.restarted",
            Self::Quarantined => "quarantined",
            Self::PeerRefused => "peers.refused",
            Self::CallerRefused => "callers.refused",
        }
    }

    /// What it tells, for the documentation.
    pub fn meaning(self) -> &'static str {
        match self {
            Self::CompletionArrived => "completions that callers asked for",
            Self::SubmissionArrived => "submissions that callers sent, re-sent ones included",
            Self::TicketIssued => "tickets issued",
            Self::CompletionAnswered => "completions answered whole",
            Self::SubmissionAnswered => "submissions answered with a receipt",
            Self::NotRun => "requests answered with not run",
            Self::OutcomeUnknown => "submissions answered with outcome unknown",
            Self::Failed => "requests that failed and may have run",
            Self::WrongAnswer => "answers withheld because they came from another adapter",
            Self::Retried => "attempts on another engine or desk after a failure",
            Self::LoadStalled => "requests that waited for their adapter to be loaded",
            Self::LoadStarted => "adapter loads ordered",
            Self::LoadFailed => "adapter loads that failed",
            Self::Evicted => "adapters unloaded to free a slot",
            Self::ConfigApplied => "generations applied",
            Self::ConfigRefused => "generations refused",
            Self::LeaseGained => "engines whose lease this instance gained",
            Self::LeaseLost => "engines whose lease this instance lost or gave up",
            Self::EngineRestarted => "engine incarnations that ended with requests in flight",
            Self::Quarantined => "requests refused because they crashed engines",
            Self::PeerRefused => "peer messages refused for their signature",
            Self::CallerRefused => "requests refused for a missing or wrong key",
        }
    }
}

//! Counters: events that are counted in memory and sent as sums.

/// An event that is counted; one metric each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Counter {
    /// Valid completion requests of callers.
    CompletionArrived,
    /// Submissions of callers; each resend counts.
    SubmissionArrived,
    /// Tickets issued.
    TicketIssued,
    /// Completions generated to their end.
    CompletionAnswered,
    /// Submissions answered with a receipt.
    SubmissionAnswered,
    /// Requests answered with an error that proves that they did not run.
    NotRun,
    /// Submissions answered with the error "outcome unknown".
    OutcomeUnknown,
    /// Requests answered with another error, after which they may have run.
    Failed,
    /// Responses withheld because another adapter or version generated them.
    WrongAnswer,
    /// Retries of a request on another engine or desk.
    Retried,
    /// Requests whose adapter was loaded before they were dispatched.
    LoadStalled,
    /// Load orders sent to engines.
    LoadStarted,
    /// Load orders that ended without a loaded adapter, or unresolved.
    LoadFailed,
    /// Unload orders that an engine carried out.
    Evicted,
    /// Configuration generations applied.
    ConfigApplied,
    /// Configurations refused as invalid or in conflict with the one in effect.
    ConfigRefused,
    /// Leases of engine groups acquired.
    LeaseGained,
    /// Leases of engine groups that ended.
    LeaseLost,
    /// Engine restarts, detected by a new incarnation in an engine's report.
    EngineRestarted,
    /// Requests refused by the quarantine, because they crashed engines.
    Quarantined,
    /// Peer messages refused at authentication.
    PeerRefused,
    /// Requests of callers and operators refused for a missing or wrong key.
    CallerRefused,
}

impl Counter {
    /// Every counter, in the order of the array that holds the sums.
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

    /// Name of the metric, without the prefix `tamaracklead.INSTANCE.`.
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

    /// Description in the generated table of metrics in the documentation.
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

//! Exit codes of the tool, for scripts.

/// Result of a command as an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Exit {
    /// The command did its work and found nothing wrong.
    Success,
    /// A check has findings, the generation is not in effect, or the submission still runs.
    ConditionNotMet,
    /// The command line is invalid, or a file named on it can't be read or is invalid.
    Usage,
    /// No instance could be reached or responded.
    Unreachable,
    /// The request is proven not to have run.
    NotRun,
    /// The command failed; a request may have run.
    Failed,
    /// It is unknown whether the submission ran; only the desk can tell.
    OutcomeUnknown,
}

impl Exit {
    /// Every exit code, for the generated documentation and for tests.
    pub const ALL: [Self; 7] = [
        Self::Success,
        Self::ConditionNotMet,
        Self::Usage,
        Self::Unreachable,
        Self::NotRun,
        Self::Failed,
        Self::OutcomeUnknown,
    ];

    /// Exit status of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::ConditionNotMet => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::NotRun => 4,
            Self::Failed => 5,
            Self::OutcomeUnknown => 6,
        }
    }

    /// Description in the generated table of exit codes in the documentation.
    pub fn meaning(self) -> &'static str {
        match self {
            Self::Success => "done, and nothing is wrong",
            Self::ConditionNotMet => {
                "the check found something, or what was waited for didn't happen"
            }
            Self::Usage => "the command line or a file given on it can't be read",
            Self::Unreachable => "no instance answered",
            Self::NotRun => "refused, and proven not to have run",
            Self::Failed => "failed, and may have run",
            Self::OutcomeUnknown => "the submission may or may not have run; ask the desk",
        }
    }
}

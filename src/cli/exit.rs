//! Exit codes of the tool.

/// Exit code of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Exit {
    /// Done, and nothing is wrong.
    Success,
    /// The check found something, or what was waited for didn't happen.
    Found,
    /// The command line or a file given on it can't be read.
    Usage,
    /// No instance answered.
    Unreachable,
    /// The request was refused and is proven not to have run.
    NotRun,
    /// The request failed, and may have run.
    Failed,
    /// The submission may or may not have run; ask the desk.
    OutcomeUnknown,
}

impl Exit {
    /// Every exit code, for tables and tests.
    pub const ALL: [Self; 7] = [
        Self::Success,
        Self::Found,
        Self::Usage,
        Self::Unreachable,
        Self::NotRun,
        Self::Failed,
        Self::OutcomeUnknown,
    ];

    /// The number that the process exits with.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Found => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::NotRun => 4,
            Self::Failed => 5,
            Self::OutcomeUnknown => 6,
        }
    }

    /// What the code means, for the documentation.
    pub fn meaning(self) -> &'static str {
        match self {
            Self::Success => "done, and nothing is wrong",
            Self::Found => "the check found something, or what was waited for didn't happen",
            Self::Usage => "the command line or a file given on it can't be read",
            Self::Unreachable => "no instance answered",
            Self::NotRun => "refused, and proven not to have run",
            Self::Failed => "failed, and may have run",
            Self::OutcomeUnknown => "the submission may or may not have run; ask the desk",
        }
    }
}

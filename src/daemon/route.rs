//! Routes towards callers and operators.

/// A route of the caller listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallerRoute {
    /// Generates a completion.
    Complete,
    /// Issues a ticket.
    IssueTicket,
    /// Runs a submission.
    Submit,
    /// Tells what became of a submission.
    Outcome,
    /// Tells whether the instance takes requests.
    Ready,
}

impl CallerRoute {
    /// Every route.
    pub const ALL: [Self; 5] =
        [Self::Complete, Self::IssueTicket, Self::Submit, Self::Outcome, Self::Ready];

    /// Its method.
    pub fn method(self) -> &'static str {
        match self {
            Self::Complete | Self::IssueTicket | Self::Submit => "POST",
            Self::Outcome | Self::Ready => "GET",
        }
    }

    /// Its path.
    pub fn path(self) -> &'static str {
        match self {
            Self::Complete => "/v1/completions",
            Self::IssueTicket => "/v1/tickets",
            Self::Submit | Self::Outcome => "/v1/submissions",
            Self::Ready => "/v1/ready",
        }
    }

    /// The route of a request, if there is one.
    pub fn of(method: &str, path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|route| route.method() == method && route.path() == path)
    }
}

/// A route of the operator listener; all are asked with `GET`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OperatorRoute {
    /// State of the instance.
    Status,
    /// State of every listed instance.
    Fleet,
    /// Decisions about one request.
    Explain,
}

impl OperatorRoute {
    /// Every route.
    pub const ALL: [Self; 3] = [Self::Status, Self::Fleet, Self::Explain];

    /// Its path, with the request's identifier as `{id}`.
    pub fn path(self) -> &'static str {
        match self {
            Self::Status => "/operator/v1/status",
            Self::Fleet => "/operator/v1/fleet",
            Self::Explain => "/operator/v1/requests/{id}",
        }
    }

    /// The route of a request and the identifier in its path, if there is one.
    pub fn of(method: &str, path: &str) -> Option<(Self, String)> {
        if method != "GET" {
            return None;
        }
        Self::ALL.into_iter().find_map(|route| {
            let (before, parameter) = route.path().split_once('{').unwrap_or((route.path(), ""));
            let rest = path.strip_prefix(before)?;
            let fits = rest.is_empty() == parameter.is_empty();
            fits.then(|| (route, rest.to_owned()))
        })
    }
}

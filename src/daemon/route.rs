//! Route tables of the caller and the operator listener.

/// A route of the caller listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallerRoute {
    /// Runs a completion.
    Complete,
    /// Issues a ticket.
    IssueTicket,
    /// Runs a submission.
    Submit,
    /// Returns the state of a submission.
    Outcome,
    /// Readiness check: whether the instance accepts completions.
    Ready,
}

impl CallerRoute {
    /// All routes, for lookup and for tests.
    pub const ALL: [Self; 5] =
        [Self::Complete, Self::IssueTicket, Self::Submit, Self::Outcome, Self::Ready];

    /// HTTP method.
    pub fn method(self) -> &'static str {
        match self {
            Self::Complete | Self::IssueTicket | Self::Submit => "POST",
            Self::Outcome | Self::Ready => "GET",
        }
    }

    /// Path without a query.
    pub fn path(self) -> &'static str {
        match self {
            Self::Complete => "/v1/completions",
            Self::IssueTicket => "/v1/tickets",
            Self::Submit | Self::Outcome => "/v1/submissions",
            Self::Ready => "/v1/ready",
        }
    }

    /// The route that matches a method and a path; `None` for an unknown one.
    pub fn of(method: &str, path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|route| route.method() == method && route.path() == path)
    }
}

/// A route of the operator listener; the method is always `GET`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OperatorRoute {
    /// State of the instance.
    Status,
    /// State of all listed instances.
    Fleet,
    /// Decisions about one request.
    Explain,
}

impl OperatorRoute {
    /// All routes, for lookup and for tests.
    pub const ALL: [Self; 3] = [Self::Status, Self::Fleet, Self::Explain];

    /// Path, with the request's identifier as `{id}`.
    pub fn path(self) -> &'static str {
        match self {
            Self::Status => "/operator/v1/status",
            Self::Fleet => "/operator/v1/fleet",
            Self::Explain => "/operator/v1/requests/{id}",
        }
    }

    /// The matching route and the identifier in its path, which is empty for routes without one.
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

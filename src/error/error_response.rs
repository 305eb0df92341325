//! The HTTP response for each error kind.

use std::time::Duration;

use super::ErrorKind;

/// What the HTTP response says about an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Short title of the problem document.
    pub title: &'static str,
    /// Whether the request is proven not to have run on a backend server.
    pub not_run: bool,
    /// Delay before a retry; `None` if a retry makes no sense.
    pub retry_after: Option<Duration>,
}

/// Retry delay after a refusal for lack of capacity.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry delay after a failure of a component that recovers by itself.
const RECOVERY_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Retry delay of a quarantined request, which stays refused for this time.
const QUARANTINE_RETRY_DELAY: Duration = Duration::from_secs(600);

impl ErrorKind {
    /// The default response to an error of this kind.
    ///
    /// `not_run` covers this one request only. A submission may have been sent
    /// before, so a refusal of a request with a ticket is marked with
    /// [`super::Error::may_have_run`] unless the ticket's issuer proved that the
    /// submission never ran. `TicketInvalid` and `TicketReused` prove nothing:
    /// another instance may have accepted the ticket, or run the same submission
    /// from a body that was written differently.
    pub fn response(self) -> ErrorResponse {
        let row = |status, title, not_run, retry_after| ErrorResponse {
            status,
            title,
            not_run,
            retry_after,
        };
        let soon = Some(CAPACITY_RETRY_DELAY);
        let later = Some(RECOVERY_RETRY_DELAY);
        match self {
            Self::Malformed => row(400, "malformed request", true, None),
            Self::Unauthenticated => row(401, "not authenticated", true, None),
            Self::Forbidden => row(403, "not permitted", true, None),
            Self::NotFound => row(404, "not found", true, None),
            Self::UnknownAdapter => row(404, "unknown adapter", true, None),
            Self::UnknownVersion => row(404, "unknown version", true, None),
            Self::TooLarge => row(413, "request too large", true, None),
            Self::SlowSender => row(408, "request body took too long", true, None),
            Self::TicketRequired => row(428, "ticket required", true, None),
            Self::TicketInvalid => row(403, "ticket invalid", false, None),
            Self::TicketExpired => row(410, "ticket expired", true, None),
            Self::TicketReused => row(409, "ticket used for another submission", false, None),
            Self::Overloaded => row(503, "overloaded", true, soon),
            Self::DeadlineTooShort => row(503, "deadline cannot be met", true, soon),
            Self::LoadFailed => row(503, "adapter could not be loaded", true, later),
            Self::NoBackend => row(503, "no backend server available", true, later),
            Self::NotOwner => row(503, "instance does not own the engine", true, soon),
            Self::Draining => row(503, "instance is shutting down", true, soon),
            Self::NotReady => row(503, "no configuration yet", true, later),
            Self::Quarantined => {
                row(422, "request crashed engines", true, Some(QUARANTINE_RETRY_DELAY))
            }
            Self::WrongAnswer => row(502, "answer withheld: wrong adapter", false, soon),
            Self::BackendRefused => row(422, "refused by the backend server", true, None),
            Self::BackendFailed => row(502, "backend server failed", false, later),
            Self::OutcomeUnknown => row(504, "outcome unknown", false, later),
            Self::DeadlineExceeded => row(504, "deadline exceeded", false, soon),
            Self::PeerUnreachable => row(503, "instance unreachable", true, soon),
            Self::ConfigRefused => row(409, "configuration refused", true, None),
            Self::Internal => row(500, "internal error", false, None),
        }
    }
}

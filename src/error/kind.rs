//! The closed list of error kinds.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Kind of an error; its snake-case name is part of the error responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request can't be parsed, or a value is out of range.
    Malformed,
    /// The sender's key or signature is missing or wrong.
    Unauthenticated,
    /// The sender isn't permitted to do this.
    Forbidden,
    /// The path, or the object that it names, doesn't exist.
    NotFound,
    /// The adapter isn't published.
    UnknownAdapter,
    /// The adapter has no such version.
    UnknownVersion,
    /// The request exceeds a size limit.
    TooLarge,
    /// The request's body didn't arrive in time.
    SlowSender,
    /// A submission came without a ticket.
    TicketRequired,
    /// The ticket's signature doesn't hold.
    TicketInvalid,
    /// The ticket has expired.
    TicketExpired,
    /// The ticket was used with another body.
    TicketReused,
    /// There is no free capacity at present.
    Overloaded,
    /// The deadline can't be met.
    DeadlineTooShort,
    /// Every attempt to load the adapter failed.
    LoadFailed,
    /// No backend server can take the request.
    NoBackend,
    /// The addressed instance doesn't own the engine.
    NotOwner,
    /// The instance is shutting down.
    Draining,
    /// The instance has no configuration yet.
    NotReady,
    /// The request is quarantined because it crashed engines.
    Quarantined,
    /// A backend server answered for another request, adapter or version.
    WrongAnswer,
    /// A backend server refused the request without running it.
    BackendRefused,
    /// A backend server failed while the request may have run.
    BackendFailed,
    /// A submission may or may not have run.
    OutcomeUnknown,
    /// The deadline passed while the request was running.
    DeadlineExceeded,
    /// The instance that must handle the request can't be reached.
    PeerUnreachable,
    /// A published configuration was refused.
    ConfigRefused,
    /// An unexpected failure inside this program.
    Internal,
}

impl ErrorKind {
    /// All kinds, for tables and tests.
    pub const ALL: [Self; 28] = [
        Self::Malformed,
        Self::Unauthenticated,
        Self::Forbidden,
        Self::NotFound,
        Self::UnknownAdapter,
        Self::UnknownVersion,
        Self::TooLarge,
        Self::SlowSender,
        Self::TicketRequired,
        Self::TicketInvalid,
        Self::TicketExpired,
        Self::TicketReused,
        Self::Overloaded,
        Self::DeadlineTooShort,
        Self::LoadFailed,
        Self::NoBackend,
        Self::NotOwner,
        Self::Draining,
        Self::NotReady,
        Self::Quarantined,
        Self::WrongAnswer,
        Self::BackendRefused,
        Self::BackendFailed,
        Self::OutcomeUnknown,
        Self::DeadlineExceeded,
        Self::PeerUnreachable,
        Self::ConfigRefused,
        Self::Internal,
    ];
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.response().title)
    }
}

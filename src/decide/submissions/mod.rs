//! At-most-once delivery of submissions to desks, by single-use tickets.
//!
//! A caller first gets a ticket, signed and bound to the incarnation that
//! issued it. Only that incarnation may ever run the submission, and only while
//! its [`SubmissionTable`] holds the ticket as unused. The table is never copied,
//! so no claim is replicated and a wrong view of the membership does no harm.
//!
//! The first attempt uses its ticket up, however it ends. An answer of "not run"
//! voids the ticket too, so a delayed re-send can't run the submission after its
//! caller was told that it did not run. Every other instance forwards to the
//! issuer and answers "outcome unknown" when it can't reach it.

mod attempt;
mod body_hash;
mod entry;
mod limits;
mod outcome;
mod permission_wait;
mod table;
mod ticket;
mod ticket_route;
mod verdict;

pub use attempt::AfterSend;
pub use attempt::Attempt;
pub use attempt::SendPermit;
pub use body_hash::BodyHash;
pub use limits::ENTRY_BYTES;
pub use limits::MAX_RECEIPT_BYTES;
pub use limits::OUTCOME_MEMORY;
pub use limits::SubmissionTableLimits;
pub use limits::TICKET_LIFETIME;
pub use outcome::ClaimResult;
pub use outcome::Outcome;
pub use outcome::TicketStatus;
pub use permission_wait::PermissionStep;
pub use permission_wait::PermissionWait;
pub use table::SubmissionCounts;
pub use table::SubmissionTable;
pub use ticket::Ticket;
pub use ticket_route::TicketRoute;
pub use verdict::Verdict;

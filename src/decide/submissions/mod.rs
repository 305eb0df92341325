//! Submissions at most once, by tickets.
//!
//! A caller first gets a ticket, signed and bound to the incarnation that
//! issued it. Only that incarnation may ever run the submission, and only while
//! its [`SubmissionTable`] holds the ticket as unused; the book is never copied,
//! so no claim is replicated and a wrong view of the membership does no harm.
//!
//! A ticket is used up by its first attempt, whatever the attempt ends in: an
//! answer of "not run" voids it, so a re-send that was delayed on its way can't
//! run the submission after its caller was told so. Every other instance
//! forwards to the issuer and says "outcome unknown" when it can't reach it.

mod attempt;
mod body_hash;
mod entry;
mod limits;
mod outcome;
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
pub use table::SubmissionCounts;
pub use table::SubmissionTable;
pub use ticket::Ticket;
pub use ticket_route::TicketRoute;
pub use verdict::Verdict;

//! Submissions at most once, by tickets.
//!
//! A caller first gets a ticket, signed and bound to the incarnation that
//! issued it. Only that incarnation may ever run the submission, and it
//! remembers used tickets until they expire; so no claim is replicated and a
//! wrong view of the membership does no harm.

mod book;
mod ticket;

pub use book::Claim;
pub use book::Outcome;
pub use book::SubmissionBook;
pub use book::TICKET_LIFETIME;
pub use ticket::Ticket;

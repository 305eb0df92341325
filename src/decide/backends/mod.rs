//! Backend servers that may get new work.
//!
//! Three sources say that a backend server leaves: the platform's list, a peer,
//! and the backend server itself. The first that says so counts, and for the
//! same incarnation no later word of "live" takes it back, since the list lags.

mod book;
mod leaving_marks;

pub use book::Backends;
pub use leaving_marks::MARK_KEEP;

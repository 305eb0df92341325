//! The known backend servers, and which of them may get new work.
//!
//! Three sources report that a backend server is leaving: the platform's list, a
//! peer, and the backend server itself. The first report counts, and for the same
//! incarnation no later "live" overrides it, since the list lags.

mod leaving_marks;
mod registry;

pub use leaving_marks::MARK_RETENTION;
pub use registry::Backends;

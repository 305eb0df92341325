//! Reads that fail again and again as a state: since when, for which causes, and which log lines that
//! is worth.
//!
//! Causes that differ only in figures, as in a port or a time, count as the same one. A line is due
//! when reads begin to fail, when a cause is new, and at growing intervals while they fail; all
//! lines together have a budget, so that neither alternating causes nor reads that fail now and
//! then fill the log.

mod cause;
mod causes;
mod failing_read;
mod line_budget;
mod pending_read;
mod read_failure;
mod read_health;
mod read_line;

pub use failing_read::FailingRead;
pub use pending_read::PendingRead;
pub use read_failure::ReadFailure;
pub use read_health::ReadHealth;
pub use read_line::ReadLine;

//! What an instance lacks for callers to send requests to it, since when, and when that is logged.
//!
//! A lack is a state: each change of it is logged, and while an instance isn't ready a line follows
//! at growing intervals that names what is missing, whom it waits for and which reads fail.

mod accept_health;
mod missing;
mod missing_since;
mod readiness_change;
mod readiness_report;
mod state;
mod unbound_address;
mod waits_for;

pub use accept_health::AcceptHealth;
pub use missing::Missing;
pub use missing_since::MissingSince;
pub use readiness_change::ReadinessChange;
pub use readiness_report::ReadinessReport;
pub use state::Readiness;
pub use unbound_address::UnboundAddress;
pub use waits_for::WaitsFor;

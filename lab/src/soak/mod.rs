//! `lab soak`: a fleet of the real platform program under random faults, with checks while it runs.

mod callers;
mod checks;
mod connection;
mod disruption;
mod entry_pool;
mod outside;
pub mod record;

pub use callers::Callers;
pub use callers::Load;
pub use checks::Rule;
pub use checks::ServedShare;
pub use checks::Violation;
pub use checks::check;
pub use checks::served_shares;
pub use disruption::Disruption;
pub use disruption::DisruptionKind;
pub use disruption::LinkFault;
pub use disruption::ReplicaFault;
pub use disruption::StoreFault;
pub use outside::Outside;
pub use outside::OutsidePlan;
pub use record::Record;

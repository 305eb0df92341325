//! `lab soak`: a fleet of the real platform program under random faults, with checks while it runs.

mod disruption;

pub use disruption::Disruption;
pub use disruption::DisruptionKind;
pub use disruption::LinkFault;
pub use disruption::ReplicaFault;
pub use disruption::StoreFault;

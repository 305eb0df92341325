//! Workloads: who asks for which adapter, and when.

mod arrival;
mod deployment;
mod popularity;
mod scenario;
mod workload;

pub use arrival::Arrival;
pub use deployment::Deployment;
pub use popularity::Popularity;
pub use scenario::Scenario;
pub use workload::FleetEvent;
pub use workload::WARM_UP;
pub use workload::Workload;

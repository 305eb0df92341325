//! Synthetic workloads: Poisson arrivals over adapters with Zipf popularity, and fleet events.
//!
//! A deployment gives the sizes, a scenario the disturbance and a seed everything
//! drawn at random. The simulation and the load driver use the same workloads.

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

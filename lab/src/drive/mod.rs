//! Load on real processes: arrivals at their own times, whatever the answers do.
//!
//! Each request is sent at the time that the workload says, and its latency
//! counts from that time, so a slow fleet can't slow the load down and hide it.

mod command;
mod figures;
mod hops;
mod load;
mod request;

pub use command::hops_command;
pub use command::load_command;
pub use command::run_hops;
pub use command::run_load;

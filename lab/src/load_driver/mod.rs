//! Open-loop load driver for fleets of real processes.
//!
//! Each request is sent at its planned arrival time, independent of earlier
//! responses, and its latency counts from that time. A slow fleet therefore
//! can't slow the load down and hide its own delays (coordinated omission).

mod command;
mod hops;
mod load_report;
mod load_test;
mod request;

pub use command::hops_command;
pub use command::load_command;
pub use command::run_hops;
pub use command::run_load;

//! Discrete-event simulation of a fleet, to compare the project's decisions with baselines.
//!
//! Each run replays one workload under one policy: the project's routing and
//! engine scheduling, or LRU eviction behind random, least-loaded or hash routing.
//! The same workload also gives an offline bound (Belady). All time is virtual, and
//! a run is determined by its seed.

mod command;
mod event;
mod lru_scheduler;
mod offline_bound;
mod owner;
mod policy;
mod request;
mod router;
mod run_metrics;
mod simulation;
mod simulation_faults;
mod summary;
mod table;

pub use command::command;
pub use command::run;

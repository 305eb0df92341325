//! Experiments: the decision cores and simple baselines side by side in virtual time.

mod bound;
mod command;
mod event;
mod figures;
mod fleet;
mod fleet_faults;
mod lru_core;
mod owner;
mod policy;
mod request;
mod router;
mod summary;
mod table;

pub use command::command;
pub use command::run;

//! Experiments: the decision cores and simple baselines side by side in virtual time.

mod bound;
mod command;
mod event;
mod figures;
mod fleet;
mod lru_core;
mod owner;
mod policy;
mod request;
mod router;
mod summary;
mod table;

pub use command::command;
pub use command::run;

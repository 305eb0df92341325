//! Test tools for tamaracklead: stand-ins, load driver and experiments; never shipped.

pub mod caller;
pub mod demo;
pub mod experiment;
pub mod fleet;
pub mod load_driver;
pub mod model;
pub mod slopes;
pub mod soak;
pub mod standin;
pub mod workloads;

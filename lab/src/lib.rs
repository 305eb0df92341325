//! Stand-ins, load driver and experiments for tamaracklead; never shipped.

pub mod ask;
pub mod demo;
pub mod drive;
pub mod experiment;
pub mod fleet;
pub mod model;
pub mod slopes;
pub mod standin;
pub mod workloads;

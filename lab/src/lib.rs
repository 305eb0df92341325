//! Stand-ins, load driver and experiments for tamaracklead; never shipped.

pub mod ask;
pub mod demo;
pub mod fleet;
pub mod standin;

//! Tests of the relay's routing and placement decisions, driven without a network or clock.

mod adapter_homes;
mod attempts;
mod config;
mod order_lease;
mod peers;
mod prompt_turns;
mod published_view;
mod replica_plan;
mod replicas;
mod small;
mod stream;
mod support;

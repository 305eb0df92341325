//! Decisions of the relay, driven without a network.

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

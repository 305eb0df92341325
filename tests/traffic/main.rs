//! Tests of the relay's routing and placement decisions, driven without a network or clock.

mod adapter_homes;
mod attempts;
mod config;
mod holder_history;
mod home_choice;
mod order_lease;
mod order_turns;
mod peers;
mod prompt_evidence;
mod prompt_guard;
mod prompt_release;
mod prompt_storm;
mod prompt_turns;
mod published_view;
mod replica_plan;
mod replica_signals;
mod replicas;
mod response_progress;
mod small;
mod software_versions;
mod store_era;
mod stream;
mod stream_origins;
mod stream_versions;
mod support;
mod use_serials;

//! The relay: an entry instance that forwards callers' requests straight to replicas.
//!
//! It is an HTTP reverse proxy whose decisions are made in [`crate::decide::traffic`]: which
//! replica gets a request, whether a failed attempt may be retried, which adapters a replica
//! loads and which instance owns the replica. [`Protocol`] holds what differs between
//! deployments (header names, body formats, control calls) and decides nothing. [`Process`] connects
//! both to listeners, upstream connections and the gossip exchange with other instances.

mod accepted_stream;
mod account_metrics;
mod active_request_guard;
mod adapter_use;
mod attempt;
mod attempt_failure;
mod attempt_race;
mod boot_clock;
mod caller_account;
mod connection_activity;
mod connection_pool;
mod counting;
mod exchange;
mod fleet_event;
mod forward;
mod forwarded_request;
mod freshness_tracker;
mod listen_sockets;
mod listener;
mod listing;
mod loads;
mod log_event;
mod metrics;
mod node;
mod notices;
mod operator_items;
mod orders;
mod origin;
mod origin_datagrams;
mod panic_log;
mod parked_stream;
mod pass_on;
mod passed_on;
mod permits;
mod process;
mod process_event;
mod process_signal;
mod process_usage;
mod prompt_caches;
mod prompt_quarantine;
mod protocol;
mod published;
mod published_exchange;
mod quotas;
mod reach;
mod replica_call;
mod replica_request;
mod replica_request_guard;
mod replica_search;
mod replica_signals;
mod request_deadline;
mod response;
mod response_framing;
mod resumption;
mod run;
mod settings;
mod settings_file;
mod silence;
mod store_call;
mod store_event;
mod stream_origins;
mod stream_relay;
mod task_restarts;
mod tracked_body;
mod turns;
mod usage_count;
mod version_source;

pub use log_event::LogEvent;
pub use log_event::record;
pub use process::Process;
pub use protocol::AccountHeader;
pub use protocol::AttemptHeaderValues;
pub use protocol::DecodeError;
pub use protocol::FencedOrder;
pub use protocol::OrderAnswer;
pub use protocol::Protocol;
pub use protocol::PublishedPage;
pub use protocol::PublishedTopic;
pub use protocol::ReplicaCall;
pub use protocol::ReplicaReport;
pub use protocol::RequestHead;
pub use protocol::ResponseHead;
pub use run::DroppedLineCount;
pub use settings::RelayListen;
pub use settings::RelaySettings;
pub use task_restarts::restart_after_panics;

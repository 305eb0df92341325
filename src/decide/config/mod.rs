//! Distribution of the configuration: what an instance reads, from whom, and what it applies.
//!
//! The generation in effect never decreases. A lower generation is never applied,
//! and the same generation with different content is refused and raises an alarm,
//! so neither a stale configuration service nor a stale peer can roll an instance
//! back. The readers watch the service by long polling; the other instances learn
//! of a new generation from the gossip of their peers and read it there. Every
//! instance also polls the service now and then. [`ConfigSync`] decides what to read and
//! from whom; [`ConfigState`] decides what is applied.

mod action;
mod applying;
mod backoff;
mod budget;
mod counters;
mod fetch;
mod peer_configs;
mod readers;
mod service_reads;
mod snapshot;
mod source;
mod state;
mod sync;

pub use action::ConfigAction;
pub use action::ServiceHealth;
pub use action::ServiceReply;
pub use backoff::Backoff;
pub use budget::CallBudget;
pub use counters::ConfigCounters;
pub use readers::ALL_READERS_MAX_INSTANCES;
pub use readers::READERS_PER_DATA_CENTRE;
pub use readers::is_reader;
pub use readers::reader_count;
pub use service_reads::POLL_INTERVAL;
pub use service_reads::WATCH_WAIT;
pub use snapshot::Snapshot;
pub use source::ConfigSource;
pub use state::ApplyOutcome;
pub use state::ConfigState;
pub use sync::ConfigSync;

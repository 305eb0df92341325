//! The configuration in effect: which generations are applied and which refused.
//!
//! A generation only grows. A lower one is never applied, and the same number
//! with other content is refused and alarmed, so neither a stale service nor a
//! stale peer can take an instance back. [`ConfigSync`] decides what to read and
//! from whom; [`ConfigState`] decides what is applied.

mod action;
mod applying;
mod backoff;
mod budget;
mod claims;
mod counters;
mod fetch;
mod readers;
mod service_reads;
mod snapshot;
mod source;
mod state;
mod sync;

pub use action::ConfigAction;
pub use action::ServiceAnswer;
pub use action::ServiceHealth;
pub use backoff::Backoff;
pub use budget::CallBudget;
pub use counters::ConfigCounters;
pub use readers::READERS_PER_DATA_CENTRE;
pub use readers::SMALL_FLEET;
pub use readers::is_reader;
pub use readers::reader_count;
pub use service_reads::CHECK_INTERVAL;
pub use service_reads::WATCH_WAIT;
pub use snapshot::Snapshot;
pub use source::ConfigSource;
pub use state::ConfigState;
pub use state::Offer;
pub use sync::ConfigSync;

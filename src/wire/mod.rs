//! Messages between processes.
//!
//! Between this system's own processes messages are MessagePack by `rmp-serde`
//! ([`peer`], framed by [`frame`]); towards callers, backend servers, the
//! platform and operators they are JSON. The serde derives generate the codecs,
//! so the build needs no other generator.

pub mod caller;
pub mod desk;
pub mod engine;
pub mod frame;
pub mod gossip;
pub mod listing;
pub mod operator;
pub mod peer;
pub mod published;
pub mod relay;
pub mod sse;
mod version_choice;

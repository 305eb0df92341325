//! Messages between processes.
//!
//! Entry instances send each other MessagePack, encoded by `rmp-serde` (see
//! [`frame`]); the messages are in [`peer`], [`gossip`], [`relay`], [`send_permit`], [`quota`],
//! [`transfer`] and [`stream_origin`]. Messages to and from callers, backend servers, the platform and
//! operators are JSON. Serde's derives generate the codecs, so the build needs no other code generator.

pub mod caller;
pub mod desk;
pub mod engine;
pub mod frame;
pub mod gossip;
pub mod listing;
pub mod operator;
pub mod pass_on;
pub mod peer;
pub mod published;
pub mod quota;
pub mod relay;
pub mod send_permit;
pub mod software_header;
pub mod sse;
pub mod stream_origin;
pub mod transfer;
mod version_choice;

//! What the world does at a time.

use tamaracklead::decide::traffic::StreamKey;
use tamaracklead::names::SoftwareVersion;

use super::plan::Trouble;

/// Word of where a stream began.
pub struct Message {
    pub to: usize,
    pub key: StreamKey,
    pub software: SoftwareVersion,
}

pub enum Event {
    Trouble(Trouble),
    ReleaseStep { version: usize },
    StartReplica(SoftwareVersion),
    StartInstance(usize),
    Deliver(Message),
}

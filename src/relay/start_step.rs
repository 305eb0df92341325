//! Time line of a start: one log line for each thing that an instance waits for.

use std::net::SocketAddr;

use serde::Serialize;

use super::log_event::record;
use super::process_event::ProcessEvent;
use crate::names::Timestamp;

/// Something that a start waits for and that has come.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum StartStep {
    /// All addresses of the settings are bound.
    AddressesBound,
    /// A peer has replied, or the time to wait for one is over.
    Joined {
        /// Address of the peer; `None` if the time is over.
        by: Option<SocketAddr>,
    },
    /// A topic of the published state is known.
    Listed {
        /// Name of the topic.
        topic: &'static str,
        /// Address of the peer that it was taken from; `None` if it was read from the store.
        from: Option<SocketAddr>,
        /// Whether it may lack the last changes.
        may_be_old: bool,
    },
    /// The first configuration is in effect.
    Configured {
        /// Its version.
        version: u64,
    },
    /// Callers may send requests here.
    Ready {
        /// Whether the replicas are known up to the present; if not, that was given up.
        are_replicas_current: bool,
    },
}

impl StartStep {
    /// Logs that it has come; `now` counts from when the settings were read.
    pub fn record(self, now: Timestamp) {
        record(&ProcessEvent::StartStep { after_ms: now.as_micros() / 1000, step: self });
    }
}

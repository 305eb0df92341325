//! Constraints from ownership and quarantine that no scheduling policy may break.
//!
//! While an engine is paused nothing is sent to it. A held adapter counts as in
//! use although no known request runs on it. A request marked alone shares the
//! engine with no other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::names::AdapterRef;
use crate::names::RequestId;

/// A change of an engine's safety constraints, or of what its owner knows to be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SafetyInput {
    /// Send nothing until [`SafetyInput::Resume`].
    Pause,
    /// Orders and dispatches may be sent again.
    Resume,
    /// Adapters in the engine's slots, by its own report made while no order was in flight.
    Found(Vec<AdapterRef>),
    /// The adapter may have work that isn't known here; don't evict it.
    Hold(AdapterRef),
    /// The engine's own report shows that the held adapter is idle.
    Release(AdapterRef),
    /// The engine refused a dispatch because the adapter isn't loaded.
    NotLoaded(AdapterRef),
    /// The request must share the engine with no other.
    Alone(RequestId),
}

/// Safety constraints of one engine.
#[derive(Clone, Debug, Default)]
pub struct SafetyConstraints {
    /// Whether neither orders nor dispatches may be sent.
    pub paused: bool,
    /// Adapters that count as in use although no known request runs on them.
    pub held: BTreeSet<AdapterRef>,
    /// Requests that share the engine with no other.
    pub alone: BTreeSet<RequestId>,
}

impl SafetyConstraints {
    /// Whether the request may join those that run.
    pub fn admits(&self, id: &RequestId, running: &BTreeMap<RequestId, AdapterRef>) -> bool {
        let alone_is_running = running.keys().any(|running| self.alone.contains(running));
        !alone_is_running && (running.is_empty() || !self.alone.contains(id))
    }
}

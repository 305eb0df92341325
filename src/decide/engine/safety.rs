//! What safety asks of an engine's queue and slots, apart from any policy.
//!
//! While the guard is paused nothing is sent to the engine. A held adapter
//! counts as in use although no known request runs on it. A request marked
//! alone shares the engine with no other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::names::AdapterRef;
use crate::names::RequestId;

/// A change of what the owner may do with an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SafetyInput {
    /// Send nothing until [`SafetyInput::Resume`].
    Pause,
    /// Orders and dispatches may be sent again.
    Resume,
    /// Adapters in the engine's slots, by its direct report while no order was in flight.
    Found(Vec<AdapterRef>),
    /// The adapter may have work that isn't known here.
    Hold(AdapterRef),
    /// The engine's direct report shows that the held adapter is idle.
    Release(AdapterRef),
    /// The engine refused a dispatch because the adapter isn't loaded.
    NotLoaded(AdapterRef),
    /// The request must share the engine with no other.
    Alone(RequestId),
}

/// Pauses, holds and lone requests of one engine.
#[derive(Clone, Debug, Default)]
pub struct SafetyConstraints {
    /// Whether nothing may be sent.
    pub paused: bool,
    /// Adapters that count as in use.
    pub held: BTreeSet<AdapterRef>,
    /// Requests that share the engine with no other.
    pub alone: BTreeSet<RequestId>,
}

impl SafetyConstraints {
    /// Whether the request may join those that run.
    pub fn admits(&self, id: &RequestId, running: &BTreeMap<RequestId, AdapterRef>) -> bool {
        let lone_runs = running.keys().any(|running| self.alone.contains(running));
        !lone_runs && (running.is_empty() || !self.alone.contains(id))
    }
}

//! Events of a run, ordered by time.

use std::cmp::Ordering;

use tamaracklead::names::AdapterRef;
use tamaracklead::names::Timestamp;

/// What happens next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller's request arrives.
    Arrive(usize),
    /// A caller that was refused comes back.
    ComeBack(usize),
    /// An engine ends a step.
    Step {
        /// The engine.
        engine: usize,
        /// Its restarts when the step began.
        restarts: u32,
    },
    /// A load ends.
    LoadEnd {
        /// The engine.
        engine: usize,
        /// Its restarts when the load began.
        restarts: u32,
        /// The adapter.
        adapter: AdapterRef,
        /// Whether the store was asked.
        from_store: bool,
        /// Whether the adapter is loaded now.
        loaded: bool,
    },
    /// The permit holder may grant.
    Grant,
    /// Time passes for every owner, and engines report.
    Tick,
    /// Something happens to the fleet.
    Fleet(usize),
}

/// An event and when it happens; the earliest is the greatest, as heaps want it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scheduled {
    /// When it happens.
    pub at: Timestamp,
    /// Order among events of one time.
    pub sequence: u64,
    /// What happens.
    pub event: Event,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

//! Events of the discrete-event simulation and their order in its queue.

use std::cmp::Ordering;

use tamaracklead::names::AdapterRef;
use tamaracklead::names::Timestamp;

/// An event of the simulation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The workload's request with this index arrives.
    RequestArrival(usize),
    /// A refused caller retries the simulated request with this index.
    CallerRetry(usize),
    /// An engine ends a step of its batch.
    StepEnd {
        /// Index of the engine.
        engine: usize,
        /// The engine's restart count when the step began; the event is void after a restart.
        restarts: u32,
    },
    /// An adapter load ends.
    LoadEnd {
        /// Index of the engine.
        engine: usize,
        /// The engine's restart count when the load began; the result is void after a restart.
        restarts: u32,
        /// Adapter of the load.
        adapter: AdapterRef,
        /// Whether the weight store was asked; false if the engine refused the load order.
        from_store: bool,
        /// Whether the load succeeded.
        loaded: bool,
    },
    /// The permit issuer may grant permits now.
    GrantPermits,
    /// Periodic tick of every owner; the routers' views of the engines are refreshed.
    Tick,
    /// The workload's fleet event with this index.
    FleetChange(usize),
}

/// An event with its time; the earliest compares greatest, since `BinaryHeap` is a max-heap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledEvent {
    /// Virtual time of the event.
    pub at: Timestamp,
    /// Tie-breaker among events at the same time, in the order of scheduling.
    pub sequence: u64,
    /// The event.
    pub event: Event,
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
